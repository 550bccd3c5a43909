package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.ref.WeakReference;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder.DeliveryCallback;
import org.junit.jupiter.api.Test;

/** Connections that stay open hold no request that was served on them. */
class ServedRequestReleaseTest extends ConnectionRaceTestBase {
    /** Shorter than the time that the rest of a response may take. */
    private static final long CHECK_AFTER_MILLIS = 900;

    private static final int MAX_COLLECTIONS = 10;
    private static final long COLLECTION_PAUSE_MILLIS = 10;
    /** The check must come after the response, which takes long on an overloaded machine. */
    private static final int MAX_TRIES = 10;

    private volatile WeakReference<Request> served;

    /** Guards against a heap full of bodies of requests that were served within the last second. */
    @Test
    void aServedRequestIsReleasedWhenItsResponseHasEnded() throws Exception {
        platform.usageRecorder = (finished, release) -> {
            served = new WeakReference<>(finished.request());
            release.accept(DeliveryCallback.NONE);
            return null;
        };
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            try (RawClient client = new RawClient(start())) {
                CompletableFuture<Boolean> released = null;
                for (int i = 0; i < MAX_TRIES && (released == null || released.isDone()); i++) {
                    released = scheduleCheck();
                    client.send(requestBytes("/api", "a" + i, "step-view", "{}"));
                    assertEquals(200, client.read().status());
                }
                assertFalse(released.isDone(), "no response came before the check");
                assertTrue(released.get(10, TimeUnit.SECONDS), "the request is still in memory");
            }
        }
    }

    /** Guards against a heap that holds the bodies of requests whose results wait to be written. */
    @Test
    void aRequestIsReleasedWhileItsResultWaitsForTheEventLoop() throws Exception {
        CountDownLatch eventLoopMayGoOn = new CountDownLatch(1);
        CountDownLatch recorded = new CountDownLatch(1);
        platform.usageRecorder = (finished, release) -> {
            served = new WeakReference<>(finished.request());
            platform.dispatcher().eventLoop().runOnContext(v -> awaitUninterruptibly(eventLoopMayGoOn));
            release.accept(DeliveryCallback.NONE);
            recorded.countDown();
            return null;
        };
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            try (RawClient client = new RawClient(start())) {
                client.send(requestBytes("/api", "a", "step-view", "{}"));
                assertTrue(recorded.await(10, TimeUnit.SECONDS), "the request was not served");
                boolean released = isReleased();
                eventLoopMayGoOn.countDown();
                assertTrue(released, "the request is still in memory");
                assertEquals(200, client.read().status());
            } finally {
                eventLoopMayGoOn.countDown();
            }
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Schedules the check on the event loop, ahead of any timer that the next request starts for a longer time. */
    private CompletableFuture<Boolean> scheduleCheck() throws Exception {
        CompletableFuture<Void> scheduled = new CompletableFuture<>();
        CompletableFuture<Boolean> released = new CompletableFuture<>();
        platform.dispatcher().eventLoop().runOnContext(v -> {
            platform.dispatcher().vertx().setTimer(CHECK_AFTER_MILLIS, id -> released.complete(isReleased()));
            scheduled.complete(null);
        });
        scheduled.get(10, TimeUnit.SECONDS);
        return released;
    }

    private boolean isReleased() {
        for (int i = 0; i < MAX_COLLECTIONS && served.get() != null; i++) {
            System.gc();
            try {
                Thread.sleep(COLLECTION_PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return served.get() == null;
    }
}
