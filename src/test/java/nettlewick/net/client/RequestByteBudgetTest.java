package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import nettlewick.core.Clock;
import org.junit.jupiter.api.Test;

/** The bytes that the requests of all clients may use together. */
class RequestByteBudgetTest {
    private final Clock clock = Clock.stoppedAt(1000);

    /** Another connection with this budget. */
    private EmbeddedChannel openChannel(RequestByteBudget budget) {
        ClientConnection client = new ClientConnection(clock, budget);
        return new EmbeddedChannel(
                new StrictHttpDecoder(new HttpServerOptions(), client::bytesReceived),
                new HttpResponseEncoder(),
                client);
    }

    private static void sendBody(EmbeddedChannel target, String body) {
        target.writeInbound(Unpooled.copiedBuffer(
                "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n" + body, StandardCharsets.US_ASCII));
    }

    private static void assertRejected(EmbeddedChannel target) {
        assertTrue(((ByteBuf) target.readOutbound())
                .toString(StandardCharsets.US_ASCII)
                .contains(" 503 "));
        assertNull(target.readInbound());
    }

    /** Guards against clients that stop half way through their requests and so keep others from being served. */
    @Test
    void rejectsTheOldestUnfinishedRequestWhenTheBytesOfAllClientsExceedTheBudget() {
        RequestByteBudget budget = new RequestByteBudget(10);
        EmbeddedChannel slow = openChannel(budget);
        EmbeddedChannel sound = openChannel(budget);
        sendBody(slow, "12345678");
        assertNull(slow.readOutbound());
        sendBody(sound, "123456789");
        assertRejected(slow);
        assertNull(sound.readOutbound());
        assertEquals("/a", ((HttpRequest) sound.readInbound()).uri());
    }

    /** Guards against more requests in flight than the heap holds. */
    @Test
    void countsRequestsInFlightUntilTheyAreAnswered() {
        RequestByteBudget budget = new RequestByteBudget(10);
        EmbeddedChannel answering = openChannel(budget);
        sendBody(answering, "123456789");
        assertEquals("/a", ((HttpRequest) answering.readInbound()).uri());
        EmbeddedChannel tooEarly = openChannel(budget);
        sendBody(tooEarly, "123456789");
        assertRejected(tooEarly);
        answering.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        EmbeddedChannel afterwards = openChannel(budget);
        sendBody(afterwards, "123456789");
        assertEquals("/a", ((HttpRequest) afterwards.readInbound()).uri());
    }

    /** Guards against bytes that stay counted when the client of an unfinished request leaves. */
    @Test
    void returnsTheBytesOfAClientThatLeaves() {
        RequestByteBudget budget = new RequestByteBudget(10);
        EmbeddedChannel leaving = openChannel(budget);
        sendBody(leaving, "12345678");
        leaving.close();
        EmbeddedChannel remaining = openChannel(budget);
        sendBody(remaining, "123456789");
        assertEquals("/a", ((HttpRequest) remaining.readInbound()).uri());
    }
}
