package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.until;
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

/** What a runner may send in place of a whole answer: each request gets one final answer in time, and runs once. */
@Timeout(30)
class MalformedResponseTest {
    private static final double DEADLINE = 1.0;
    /** The final answer may come this much after the deadline on a busy machine; the platform allows half a second. */
    private static final double SLACK = 0.5;

    private static final String OK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private DispatcherOnStubPlatform world;
    private RawEndpoint endpoint;
    private int port;

    /** How an answer may be spoilt, and whether the job's result was whole before that. */
    private enum MalformedResponse {
        NOTHING(false) {
            @Override
            void write(Socket to, String id) {
                // Silent to the deadline and beyond.
            }
        },
        CLOSED(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                to.close();
            }
        },
        NOT_HTTP(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, "what is this\r\n\r\n");
            }
        },
        A_HEAD_WITHOUT_END(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(20_000));
            }
        },
        NO_CHUNK(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, OK + "zz\r\n");
            }
        },
        HALF_A_LINE_AND_THE_END(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, RawEndpoint.answer("{\"id\":\"" + id + "\",\"state\":\"do"));
            }
        },
        HALF_A_LINE_AND_SILENCE(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, OK + "10\r\n{\"id\":\"" + id);
            }
        },
        NO_JSON(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, RawEndpoint.answer("done, I think\n"));
            }
        },
        DONE_WITHOUT_RESULT(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                RawEndpoint.write(to, RawEndpoint.answer("{\"id\":\"" + id + "\",\"state\":\"done\"}\n"));
            }
        },
        LINES_WITHOUT_END(false) {
            @Override
            void write(Socket to, String id) throws IOException {
                String line = "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"running\",\"share\":0.1}\n";
                String chunk = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
                RawEndpoint.write(to, OK);
                while (true) {
                    RawEndpoint.write(to, chunk);
                }
            }
        },
        DONE_TWICE(true) {
            @Override
            void write(Socket to, String id) throws IOException {
                String line =
                        "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n";
                RawEndpoint.write(to, RawEndpoint.answer(line + line.replace("r-", "other-")));
            }
        },
        DONE_AND_RESET(true) {
            @Override
            void write(Socket to, String id) throws IOException {
                String line =
                        "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n";
                RawEndpoint.write(to, OK + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                to.setSoLinger(true, 0);
            }
        };

        final boolean served;

        MalformedResponse(boolean served) {
            this.served = served;
        }

        abstract void write(Socket to, String id) throws IOException;
    }

    @BeforeEach
    void open() throws Exception {
        world = new DispatcherOnStubPlatform();
        endpoint = new RawEndpoint().open();
        world.addRunner("s-1", endpoint.port());
        Map<String, Object> config = world.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        @SuppressWarnings("unchecked")
        Map<String, Object> limits = new HashMap<>((Map<String, Object>) settings.get("ceilings"));
        limits.put("probes", false);
        settings.put("ceilings", limits);
        port = world.start(config).ports().get(0);
        until(() -> {
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
        world.close();
    }

    private static String hurried(String id) {
        return requestBytes("/api", id, "mark-submit", "")
                .toString()
                .replace("X-Deadline: 4", "X-Deadline: " + DEADLINE);
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void malformedResponseEndsItsRequestOnceAndInTime(MalformedResponse response) throws Exception {
        endpoint.script = (request, socket) -> response.write(socket, request.id());
        try (RawClient client = new RawClient(port)) {
            long sent = System.nanoTime();
            RawClient.Response answer = client.send(hurried("a")).read();
            double took = (System.nanoTime() - sent) / 1e9;
            assertEquals(response.served ? 200 : 502, answer.status(), answer.body());
            assertEquals(response.served, answer.body().equals("r-a"), answer.body());
            assertTrue(took <= DEADLINE + SLACK, "after " + took + " s");
            endpoint.script = (request, socket) -> RawEndpoint.write(socket, RawEndpoint.served(request.id()));
            // The same connection serves on, and the next request gets its own answer.
            RawClient.Response next =
                    client.send(requestBytes("/api", "b", "step-view", "")).read();
            assertTrue(next.body().equals("r-b") || next.status() == 503, next.head() + next.body());
        }
        assertEquals(1, endpoint.ids().stream().filter("a"::equals).count(), "it may have run: never sent again");
    }

    /** Guards against pipelined requests that go on for a client that has left. */
    @Test
    void pipelinedRequestsOfADepartedClientAreNeverForwarded() throws Exception {
        endpoint.script = (request, socket) -> {};
        RawClient gone = new RawClient(port);
        gone.send(hurried("first") + hurried("second") + hurried("third"));
        until(() -> endpoint.seen.size() == 1);
        gone.close();
        until(() -> !world.dispatcher().frontends().get(0).hasConnections());
        endpoint.script = (request, socket) -> RawEndpoint.write(socket, RawEndpoint.served(request.id()));
        try (RawClient stays = new RawClient(port)) {
            until(() -> {
                try {
                    return stays.send(requestBytes("/api", "x" + System.nanoTime(), "step-view", ""))
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
                endpoint.ids().stream()
                        .filter(id -> id.equals("second") || id.equals("third"))
                        .toList());
    }
}
