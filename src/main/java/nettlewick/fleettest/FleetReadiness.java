package nettlewick.fleettest;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Starts the processes of a fleet and finds out by health checks which of them are ready. */
final class FleetReadiness {
    private static final int START_TIMEOUT_SECONDS = 300;
    private static final int CHECK_INTERVAL_MILLIS = 50;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS_PER_DISPATCHER = 4;
    private static final int HTTP_OK = 200;

    private final Fleet fleet;
    private final HttpClient healthClient;

    FleetReadiness(Fleet fleet, Vertx vertx) {
        this.fleet = fleet;
        healthClient = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_DISPATCHER));
    }

    /**
     * Starts all processes, a few at a time, and waits until each is ready.
     *
     * @throws IOException if a process exits before it is ready, or the fleet is not ready in time
     */
    void startAll(Consumer<String> progress) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        int startedCount = 0;
        while (countReady() < fleet.dispatchers.size()) {
            startedCount = startSome(startedCount);
            checkHealth();
            failIfExited(startedCount);
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("the fleet was not ready after " + START_TIMEOUT_SECONDS + " s");
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
            progress.accept(countReady() + " of " + fleet.dispatchers.size() + " ready");
        }
    }

    /** Starts processes while not too many are starting; returns how many have been started in total. */
    private int startSome(int startedBefore) throws IOException {
        int maxStarting = Runtime.getRuntime().availableProcessors() + 2;
        long starting = fleet.dispatchers.stream()
                .filter(dispatcher -> dispatcher.incarnationCount > 0 && !dispatcher.ready)
                .count();
        int started = startedBefore;
        while (started < fleet.dispatchers.size() && starting < maxStarting) {
            fleet.start(started);
            started++;
            starting++;
        }
        return started;
    }

    private void failIfExited(int startedCount) throws IOException {
        for (Fleet.DispatcherProcess dispatcher : fleet.dispatchers.subList(0, startedCount)) {
            if (!dispatcher.alive()) {
                throw new IOException("n" + dispatcher.number + " exited before it was ready, with code "
                        + dispatcher.process.exitValue() + "; see its log in the result folder");
            }
        }
    }

    /** Sends a health check to each running process that is not known to be ready. */
    void checkHealth() {
        for (Fleet.DispatcherProcess dispatcher : fleet.dispatchers) {
            if (dispatcher.alive() && !dispatcher.ready && !dispatcher.paused) {
                Process checkedProcess = dispatcher.process;
                healthClient
                        .request(
                                HttpMethod.GET,
                                dispatcher.listenAddress.getPort(),
                                dispatcher.listenAddress.getHostString(),
                                "/_health")
                        .compose(request -> request.send())
                        .onSuccess(response -> dispatcher.ready =
                                response.statusCode() == HTTP_OK && dispatcher.process == checkedProcess);
            }
        }
    }

    long countReady() {
        return fleet.dispatchers.stream().filter(dispatcher -> dispatcher.ready).count();
    }
}
