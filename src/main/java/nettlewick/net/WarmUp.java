package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.EndpointEntry;
import nettlewick.decision.EndpointLoad;
import nettlewick.decision.EndpointState;
import nettlewick.decision.Event;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;

/**
 * Exercises the path of a request before the first one arrives, so that no client waits for classes to be loaded and
 * compiled: sends health checks to a private frontend, and runs synthetic requests through a scheduler that is
 * discarded afterwards.
 */
final class WarmUp {
    private static final int HEALTH_REQUESTS = 20;
    private static final int SYNTHETIC_REQUESTS = 60;
    private static final int SYNTHETIC_ENDPOINTS = 12;
    private static final long STEP_NANOS = 5_000_000;

    private WarmUp() {}

    /** Runs the warm-up against a frontend on a port that no client knows; completes once that frontend is closed. */
    static Future<Void> run(Frontend.Environment environment, HttpClientAgent client) {
        PlatformConfig privateConfig = environment.config().withFreeListenPort();
        Frontend privateFrontend = new PlatformFrontend(new Frontend.Environment(
                environment.vertx(),
                environment.eventLoop(),
                privateConfig,
                environment.clock(),
                environment.coordinator(),
                () -> true,
                environment.serviceState(),
                environment.maxConnections()));
        return privateFrontend
                .listen()
                .compose(port -> {
                    warmUpScheduler(privateConfig.settings());
                    SocketAddress address = SocketAddress.inetSocketAddress(
                            port, privateConfig.listen().hostAddress());
                    return warmUpSockets(client, address);
                })
                .compose(v -> privateFrontend.closeConnections(0));
    }

    /** Sends health checks on one connection; a failure ends the warm-up without an error. */
    private static Future<Void> warmUpSockets(HttpClientAgent client, SocketAddress listen) {
        return client.connect(new HttpConnectOptions()
                        .setServer(listen)
                        .setHost(listen.hostAddress())
                        .setPort(listen.port())
                        .setSsl(false))
                .compose(c -> requestHealth(c, HEALTH_REQUESTS).eventually(c::close))
                .otherwiseEmpty();
    }

    private static Future<Void> requestHealth(HttpClient client, int requestsLeft) {
        if (requestsLeft == 0) {
            return Future.succeededFuture();
        }
        return client.request(new RequestOptions().setMethod(HttpMethod.GET).setURI("/_health"))
                .compose(request -> request.send())
                .compose(response -> response.body())
                .compose(body -> requestHealth(client, requestsLeft - 1));
    }

    /** Runs synthetic requests through a scheduler whose actions are not carried out. */
    private static void warmUpScheduler(SchedulerSettings settings) {
        Dispatcher scheduler = Dispatcher.create(settings, 1);
        List<EndpointEntry> endpoints = new ArrayList<>();
        for (int i = 0; i < SYNTHETIC_ENDPOINTS; i++) {
            List<String> endpointClasses = settings.kinds();
            String endpointClass = endpointClasses.isEmpty() ? null : endpointClasses.get(i % endpointClasses.size());
            endpoints.add(new EndpointEntry("w" + i, EndpointState.READY, 0, 0, endpointClass, settings.zone(), 1));
        }
        List<Event> events = new ArrayList<>(List.of(new EndpointList(true, endpoints)));
        for (int index = 0; index < SYNTHETIC_REQUESTS; index++) {
            RequestClass requestClass =
                    settings.classes().get(index % settings.classes().size());
            events.add(new Arrival(
                    "j" + index, requestClass.name(), null, requestClass.deadlineNanos(), 1, 0, 0, null, false));
            long now = index * STEP_NANOS;
            List<Action> actions = scheduler.handle(now, events);
            events = new ArrayList<>();
            for (Action action : actions) {
                if (action instanceof Dispatch d) {
                    events.add(new Outcome(d.id(), 0, d.endpointId(), AttemptResult.SERVED, STEP_NANOS, true, null));
                } else if (action instanceof Probe p) {
                    events.add(new ProbeAnswer(
                            p.endpoint(), AttemptResult.SERVED, STEP_NANOS, new EndpointLoad(4, 4, 0, 0, 0)));
                } else if (action instanceof SetTimer t && index % 20 == 0) {
                    events.add(new Timer(t.name()));
                }
            }
        }
    }
}
