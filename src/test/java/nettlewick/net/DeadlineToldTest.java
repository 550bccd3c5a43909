package nettlewick.net;

import static nettlewick.net.StandIns.job;
import static nettlewick.net.StandIns.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The time told to a runner is at most what its client has left, wherever the request has waited. */
class DeadlineToldTest extends Crossings {
    /** The time told to a runner is what the client has left when the request is written, not when it was chosen. */
    @Test
    void theDeadlineIsWorkedOutWhenTheConnectionIsUp() throws Exception {
        limit("probes", false);
        limit("connect_timeout", 10_000_000_000L);
        try (RawEndpoint endpoint = new RawEndpoint().shut()) {
            world.addRunner("s-1", endpoint.port());
            int port = start();
            try (RawClient client = new RawClient(port)) {
                long sent = System.nanoTime();
                client.send(job("/api", "late", "step-view", ""));
                until(() -> world.node().subchannels.opening() == 1);
                endpoint.open();
                long[] came = new long[1];
                endpoint.script = (request, socket) -> {
                    came[0] = System.nanoTime();
                    RawEndpoint.write(socket, RawEndpoint.served(request.id()));
                };
                assertEquals("r-late", client.read().body());
                assertTold(4, sent, came[0], endpoint.seen.get(0));
            }
        }
    }

    /** Guards against a request that waited behind another and is told as if it had only now been sent. */
    @Test
    void theTimeARequestWaitsBehindAnotherOnItsConnectionCounts() throws Exception {
        limit("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().open()) {
            world.addRunner("s-1", endpoint.port());
            int port = start();
            CountDownLatch release = new CountDownLatch(1);
            long[] came = new long[1];
            endpoint.script = (request, socket) -> {
                if (request.id().equals("first")) {
                    await(release);
                }
                came[0] = System.nanoTime();
                RawEndpoint.write(socket, RawEndpoint.served(request.id()));
            };
            try (RawClient client = new RawClient(port)) {
                long sent = System.nanoTime();
                client.send(job("/api", "first", "step-view", ""), job("/api", "second", "step-view", ""));
                until(() -> endpoint.seen.size() == 1);
                until(() -> System.nanoTime() - sent > 600_000_000L);
                release.countDown();
                assertEquals("r-first", client.read().body());
                assertEquals("r-second", client.read().body());
                assertTold(4, sent, came[0], endpoint.seen.get(1));
            }
        }
    }

    /** Guards against time that a request waits unread in its socket while the event loop is held up. */
    @Test
    void theTimeARequestWaitsUnreadCounts() throws Exception {
        limit("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().open()) {
            world.addRunner("s-1", endpoint.port());
            int port = start();
            long[] came = new long[1];
            endpoint.script = (request, socket) -> {
                came[0] = System.nanoTime();
                RawEndpoint.write(socket, RawEndpoint.served(request.id()));
            };
            try (RawClient client = new RawClient(port)) {
                HeldLoop loop = new HeldLoop(world.node());
                long sent = System.nanoTime();
                client.send(job("/api", "unread", "step-view", ""));
                until(() -> System.nanoTime() - sent > 500_000_000L);
                loop.release();
                assertEquals("r-unread", client.read().body());
                assertTold(4, sent, came[0], endpoint.seen.get(0));
            }
        }
    }

    private static void assertTold(double whole, long sent, long came, RawEndpoint.Seen seen) {
        double told = Double.parseDouble(seen.header("x-deadline"));
        double left = whole - (came - sent) / 1e9;
        assertTrue(told <= left + 0.15, "told " + told + " s with " + left + " s left");
    }
}
