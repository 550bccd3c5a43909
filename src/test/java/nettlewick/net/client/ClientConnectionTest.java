package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import nettlewick.core.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients may send, byte by byte, on a channel without a socket. */
class ClientConnectionTest {
    private static final String GET = "GET /a HTTP/1.1\r\n\r\n";
    private final Clock clock = Clock.stoppedAt(1000);
    private final ClientConnection connection = new ClientConnection(clock, new RequestByteBudget(100_000));
    private final EmbeddedChannel channel = new EmbeddedChannel(
            new StrictHttpDecoder(new HttpServerOptions(), () -> connection().bytesReceived()),
            new HttpResponseEncoder(),
            connection);

    private ClientConnection connection() {
        return connection;
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** The paths and bodies of the requests that were passed on. */
    private List<String> passedRequests() {
        List<String> all = new ArrayList<>();
        for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
            all.add(
                    o instanceof HttpRequest r
                            ? r.uri()
                            : ((LastHttpContent) o).content().toString(StandardCharsets.US_ASCII));
        }
        return all;
    }

    private String responses() {
        StringBuilder all = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            all.append(b.toString(StandardCharsets.US_ASCII));
        }
        return all.toString();
    }

    private void respond() {
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        channel.runPendingTasks();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: x",
                "Content-Length: -1",
                "Content-Length: +1",
                "Content-Length:",
                "Content-Length: 99999999999999999999",
                "Content-Length: 1\r\nContent-Length: 1",
                "Content-Length: 1, 1",
                "Content-Length: 1\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 1",
                "Content-Length: 1\r\nTransfer-Encoding: gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Content-Length : 1",
                "X: a\u0001b",
                "no header"
            })
    void rejectsAHeadWithAmbiguousFraming(String header) {
        send("POST /a HTTP/1.1\r\n" + header + "\r\n\r\nzGET /hidden HTTP/1.1\r\n\r\n");
        assertEquals(List.of(), passedRequests());
        assertTrue(responses().startsWith("HTTP/1.1 400 "));
    }

    /** Guards against heads of very many short fields, which take far more memory than bytes. */
    @Test
    void rejectsAHeadWithTooManyFieldsBeforeItEnds() {
        send("GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(StrictHttpDecoder.MAX_HEADER_FIELDS));
        assertEquals("", responses());
        send("a:\r\na:\r\n");
        assertEquals(List.of(), passedRequests());
        assertTrue(responses().startsWith("HTTP/1.1 431 "));
    }

    /** Guards against trailers of very many short fields. */
    @Test
    void rejectsTrailersWithTooManyFieldsBeforeTheyEnd() {
        send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                + "a:\r\n".repeat(StrictHttpDecoder.MAX_HEADER_FIELDS + 1));
        assertEquals(List.of(), passedRequests());
        assertTrue(responses().startsWith("HTTP/1.1 431 "));
    }

    /** Each request of a connection may have that many fields. */
    @Test
    void acceptsAsManyFieldsAsAreAllowedInEachRequest() {
        String request = "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(StrictHttpDecoder.MAX_HEADER_FIELDS) + "\r\n";
        for (int i = 0; i < 3; i++) {
            send(request);
            assertEquals(List.of("/a", ""), passedRequests());
            respond();
        }
    }

    /** Guards against a rejection without a Retry-After header. */
    @ParameterizedTest
    @ValueSource(ints = {429, 503})
    void sendsRetryAfterWhereARetryIsHarmless(int status) {
        connection.reject(status, "not now");
        assertTrue(responses().contains("\r\nRetry-After: 1\r\n"));
    }

    /** Guards against asking clients to retry a request that can never be served. */
    @Test
    void sendsNoRetryAfterForAnInvalidRequest() {
        connection.reject(400, "no request that can be read");
        assertFalse(responses().contains("Retry-After"));
    }

    private void respondAndClose() {
        DefaultFullHttpResponse last = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        last.headers().set("Connection", "close");
        channel.writeOutbound(last);
        channel.runPendingTasks();
    }

    /** Guards against closing a connection with an unanswered pipelined request during a graceful shutdown. */
    @Test
    void answersPipelinedRequestsBeforeClosing() {
        send(GET + "POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
        assertEquals(List.of("/a", ""), passedRequests());
        respondAndClose();
        assertFalse(responses().toLowerCase(java.util.Locale.ROOT).contains("connection"), "not the last response");
        send("y");
        assertEquals(List.of("/b", "xy"), passedRequests());
        assertTrue(channel.isOpen());
        respondAndClose();
        assertTrue(responses().toLowerCase(java.util.Locale.ROOT).contains("connection: close"));
        assertFalse(channel.isOpen());
    }

    /** Guards against forwarding a request while the response before it is about to close the connection. */
    @Test
    void passesNothingAfterAResponseThatCloses() {
        send(GET.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n") + GET);
        assertEquals(2, passedRequests().size(), "head and end of the first request");
        DefaultFullHttpResponse last = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        last.headers().set("Connection", "close");
        channel.write(last);
        channel.runPendingTasks();
        assertEquals(List.of(), passedRequests());
        channel.flush();
        assertFalse(channel.isOpen());
    }

    @Test
    void rejectsALongBodyAtItsHeadAndAnEndlessHeadAtItsLimit() {
        send("POST /a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
        assertTrue(responses().startsWith("HTTP/1.1 413 "));
        for (int i = 0; i < 40; i++) {
            send("x".repeat(8192));
        }
        assertFalse(channel.config().isAutoRead(), "a limited amount is discarded, then nothing is read");
        EmbeddedChannel otherChannel = new EmbeddedChannel(
                new StrictHttpDecoder(new HttpServerOptions(), () -> {}),
                new HttpResponseEncoder(),
                new ClientConnection(clock, new RequestByteBudget(1)));
        otherChannel.writeInbound(
                Unpooled.copiedBuffer("GET /a HTTP/1.1\r\n" + "A: b\r\n".repeat(4000), StandardCharsets.US_ASCII));
        assertTrue(((ByteBuf) otherChannel.readOutbound())
                .toString(StandardCharsets.US_ASCII)
                .contains(" 431 "));
    }

    @Test
    void limitsChunkedBodiesAndRejectsMalformedChunks() {
        String head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        send(head + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        assertEquals(List.of("/a", "abc"), passedRequests());
        respond();
        responses();
        send(head + "zz\r\n");
        assertEquals(List.of(), passedRequests());
        assertTrue(responses().startsWith("HTTP/1.1 400 "));
    }

    /** Guards against losing a request that is split inside a line, a length or a character. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5\r\n\r\né✓", "Transfer-Encoding: chunked\r\n\r\n5\r\né✓\r\n0\r\n\r\n"})
    void readsARequestSplitAtAnyByte(String rest) {
        byte[] request = ("POST /a HTTP/1.1\r\nX: y\r\n" + rest).getBytes(StandardCharsets.UTF_8);
        for (int cut = 1; cut < request.length; cut++) {
            ClientConnection client = new ClientConnection(clock, new RequestByteBudget(100));
            EmbeddedChannel clientChannel =
                    new EmbeddedChannel(new StrictHttpDecoder(new HttpServerOptions(), client::bytesReceived), client);
            clientChannel.writeInbound(Unpooled.copiedBuffer(request, 0, cut));
            clientChannel.writeInbound(Unpooled.copiedBuffer(request, cut, request.length - cut));
            assertEquals("/a", ((HttpRequest) clientChannel.readInbound()).uri(), "cut at " + cut);
            LastHttpContent body = clientChannel.readInbound();
            assertEquals("é✓", body.content().toString(StandardCharsets.UTF_8), "cut at " + cut);
        }
    }

    @Test
    void passesNothingOfAnUnfinishedRequest() {
        send("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc");
        channel.close();
        assertEquals(List.of(), passedRequests());
    }

    @Test
    void servesPipelinedRequestsOneByOneAndRejectsAFlood() {
        send(GET + GET.replace("/a", "/b"));
        assertEquals(List.of("/a", ""), passedRequests());
        respond();
        assertEquals(List.of("/b", ""), passedRequests());
        respond();
        responses();
        send(GET.repeat(300));
        assertEquals(List.of(), passedRequests());
        assertTrue(responses().startsWith("HTTP/1.1 429 "));
    }

    @Test
    void sendsContinueBeforeTheBody() {
        send("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", responses());
        send("x");
        assertEquals(List.of("/a", "x"), passedRequests());
    }

    @Test
    void rejectsSlowRequestsAndClosesTheirConnections() {
        clock.advanceTo(1000 + ClientConnectionState.READ_TIMEOUT_MILLIS - 1);
        connection.closeIfOverdue(clock.nowMillis());
        assertTrue(channel.isOpen());
        send("GET /a HT");
        clock.advanceTo(1000 + ClientConnectionState.READ_TIMEOUT_MILLIS);
        connection.closeIfOverdue(clock.nowMillis());
        assertTrue(responses().startsWith("HTTP/1.1 408 "));
        clock.advanceTo(clock.nowMillis() + ClientConnectionState.LINGER_MILLIS);
        connection.closeIfOverdue(clock.nowMillis());
        assertFalse(channel.isOpen());
    }

    @Test
    void requestInFlightHasNoTimeoutHere() {
        send(GET);
        clock.advanceTo(1e9);
        connection.closeIfOverdue(clock.nowMillis());
        assertTrue(channel.isOpen());
        assertNull(channel.readOutbound());
    }

    /** Guards against a graceful shutdown that discards a response which a slow client has not read yet. */
    @Test
    void doesNotCloseWhileAResponseIsBeingWritten() {
        send(GET);
        channel.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        clock.advanceTo(1000 + ClientConnectionState.QUIET_MILLIS + 1);
        connection.closeIfQuiet(clock.nowMillis());
        assertTrue(channel.isOpen(), "its response is written but not yet flushed");
        channel.flush();
        connection.closeIfQuiet(clock.nowMillis());
        assertFalse(channel.isOpen());
    }

    /** Guards against cutting off a client that reads all the time, but not fast enough. */
    @Test
    void readingPartOfAResponseExtendsTheTimeToReadTheRest() {
        double stall = OutputTimeouts.STANDARD.stallMillis();
        send(GET);
        channel.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        ChannelOutboundBuffer unread = channel.unsafe().outboundBuffer();
        unread.addFlush();
        double lastReadAt = clock.nowMillis();
        for (int i = 0; i < 3; i++) {
            connection.closeIfOverdue(clock.nowMillis());
            lastReadAt += stall - 1;
            clock.advanceTo(lastReadAt);
            unread.progress(1);
        }
        connection.closeIfOverdue(lastReadAt);
        clock.advanceTo(lastReadAt + stall - 1);
        connection.closeIfOverdue(clock.nowMillis());
        assertTrue(channel.isOpen());
        clock.advanceTo(lastReadAt + stall);
        connection.closeIfOverdue(clock.nowMillis());
        assertFalse(channel.isOpen());
    }

    /** Guards against accepting a request while the last response of its connection is being written. */
    @Test
    void acceptsNothingOnceTheLastResponseIsWritten() {
        send(GET);
        passedRequests();
        DefaultFullHttpResponse last = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        last.headers().set("Connection", "close");
        channel.write(last);
        send(GET);
        assertEquals(List.of(), passedRequests());
        assertEquals(ClientConnectionState.Phase.CLOSING, connection.state().phase());
    }

    /**
     * Guards against complete requests that get no response because of the garbage behind them, or that are forwarded.
     */
    @Test
    void rejectsRequestsAheadOfGarbageInOrder() {
        send(GET + GET.replace("/a", "/b") + "no request\r\n\r\n");
        assertEquals(List.of(), passedRequests());
        String responses = responses();
        assertEquals(
                List.of("429", "429", "400"),
                java.util.regex.Pattern.compile("HTTP/1.1 (\\d+)")
                        .matcher(responses)
                        .results()
                        .map(m -> m.group(1))
                        .toList(),
                responses);
    }
}
