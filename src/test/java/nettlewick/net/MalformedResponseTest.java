package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What an endpoint may send instead of a complete response: each request gets one final response in time, and runs
 * once.
 */
@Timeout(30)
class MalformedResponseTest {
    private static final double DEADLINE_SECONDS = 1.0;
    /**
     * On a busy machine the final response may come this long after the deadline; the platform allows half a second.
     */
    private static final double TOLERANCE_SECONDS = 0.5;

    private static final String OK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private DispatcherOnStubPlatform platform;
    private RawEndpoint endpoint;
    private int port;

    /** How a response may be malformed, and whether the result was complete before that. */
    private enum MalformedResponse {
        NO_RESPONSE(false) {
            @Override
            void write(Socket socket, String id) {
                // Nothing is sent, even after the deadline.
            }
        },
        CONNECTION_CLOSED(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                socket.close();
            }
        },
        NOT_HTTP(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, "what is this\r\n\r\n");
            }
        },
        ENDLESS_HEAD(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(20_000));
            }
        },
        INVALID_CHUNK(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, OK + "zz\r\n");
            }
        },
        PARTIAL_LINE_THEN_END(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, RawEndpoint.chunkedResponse("{\"id\":\"" + id + "\",\"state\":\"do"));
            }
        },
        PARTIAL_LINE_THEN_SILENCE(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, OK + "10\r\n{\"id\":\"" + id);
            }
        },
        NOT_JSON(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, RawEndpoint.chunkedResponse("done, I think\n"));
            }
        },
        DONE_WITHOUT_RESULT(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                RawEndpoint.write(socket, RawEndpoint.chunkedResponse("{\"id\":\"" + id + "\",\"state\":\"done\"}\n"));
            }
        },
        ENDLESS_LINES(false) {
            @Override
            void write(Socket socket, String id) throws IOException {
                String line = "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"running\",\"share\":0.1}\n";
                String chunk = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
                RawEndpoint.write(socket, OK);
                while (true) {
                    RawEndpoint.write(socket, chunk);
                }
            }
        },
        DONE_TWICE(true) {
            @Override
            void write(Socket socket, String id) throws IOException {
                String line =
                        "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n";
                RawEndpoint.write(socket, RawEndpoint.chunkedResponse(line + line.replace("r-", "other-")));
            }
        },
        DONE_THEN_RESET(true) {
            @Override
            void write(Socket socket, String id) throws IOException {
                String line =
                        "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n";
                RawEndpoint.write(socket, OK + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                socket.setSoLinger(true, 0);
            }
        };

        final boolean hasCompleteResult;

        MalformedResponse(boolean hasCompleteResult) {
            this.hasCompleteResult = hasCompleteResult;
        }

        abstract void write(Socket socket, String id) throws IOException;
    }

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        endpoint = new RawEndpoint().startAccepting();
        platform.addEndpoint("s-1", endpoint.port());
        Map<String, Object> config = platform.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        @SuppressWarnings("unchecked")
        Map<String, Object> limits = new HashMap<>((Map<String, Object>) settings.get("ceilings"));
        limits.put("probes", false);
        settings.put("ceilings", limits);
        port = platform.start(config).ports().get(0);
        waitUntil(() -> {
            try (RawClient client = new RawClient(port)) {
                return client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                                .read()
                                .status()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        endpoint.close();
        platform.close();
    }

    private static String requestWithShortDeadline(String id) {
        return requestBytes("/api", id, "mark-submit", "")
                .toString()
                .replace("X-Deadline: 4", "X-Deadline: " + DEADLINE_SECONDS);
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void malformedResponseEndsItsRequestOnceAndInTime(MalformedResponse response) throws Exception {
        endpoint.script = (request, socket) -> response.write(socket, request.id());
        try (RawClient client = new RawClient(port)) {
            long sentAt = System.nanoTime();
            RawClient.Response received =
                    client.send(requestWithShortDeadline("a")).read();
            double elapsedSeconds = (System.nanoTime() - sentAt) / 1e9;
            assertEquals(response.hasCompleteResult ? 200 : 502, received.status(), received.body());
            assertEquals(response.hasCompleteResult, received.body().equals("r-a"), received.body());
            assertTrue(elapsedSeconds <= DEADLINE_SECONDS + TOLERANCE_SECONDS, "after " + elapsedSeconds + " s");
            endpoint.script = (request, socket) -> RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
            // The connection stays usable, and the next request gets its own response.
            RawClient.Response next =
                    client.send(requestBytes("/api", "b", "step-view", "")).read();
            assertTrue(next.body().equals("r-b") || next.status() == 503, next.head() + next.body());
        }
        assertEquals(
                1,
                endpoint.receivedIds().stream().filter("a"::equals).count(),
                "it may have run and is never sent again");
    }

    /** Guards against forwarding the pipelined requests of a client that has left. */
    @Test
    void pipelinedRequestsOfADepartedClientAreNeverForwarded() throws Exception {
        endpoint.script = (request, socket) -> {};
        RawClient departedClient = new RawClient(port);
        departedClient.send(requestWithShortDeadline("first")
                + requestWithShortDeadline("second")
                + requestWithShortDeadline("third"));
        waitUntil(() -> endpoint.received.size() == 1);
        departedClient.close();
        waitUntil(() -> !platform.dispatcher().frontends().get(0).hasConnections());
        endpoint.script = (request, socket) -> RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
        try (RawClient remainingClient = new RawClient(port)) {
            waitUntil(() -> {
                try {
                    return remainingClient
                                    .send(requestBytes("/api", "x" + System.nanoTime(), "step-view", ""))
                                    .read()
                                    .status()
                            == 200;
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }
        assertEquals(
                List.of(),
                endpoint.receivedIds().stream()
                        .filter(id -> id.equals("second") || id.equals("third"))
                        .toList());
    }
}
