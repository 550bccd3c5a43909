package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.ref.WeakReference;
import org.junit.jupiter.api.Test;

/** The requests of a connection that wait to be passed on. */
class PipelinedRequestsTest {
    private static final byte[] BODY = new byte[1000];
    private static final int MAX_COLLECTIONS = 50;
    private static final long COLLECTION_PAUSE_MILLIS = 10;

    private final PipelinedRequests requests = new PipelinedRequests(new RequestByteBudget(BODY.length), () -> {});

    /** Guards against a heap full of the bodies of requests that connections have passed on. */
    @Test
    void theBodyOfARequestThatWasPassedOnIsReleased() throws InterruptedException {
        addRequest();
        WeakReference<ByteBuf> body = new WeakReference<>(requests.poll().body());
        for (int i = 0; i < MAX_COLLECTIONS && body.get() != null; i++) {
            System.gc();
            Thread.sleep(COLLECTION_PAUSE_MILLIS);
        }
        assertNull(body.get(), "the body is still in memory");
    }

    private void addRequest() {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api");
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        requests.begin(head);
        assertNull(requests.add(new DefaultLastHttpContent(Unpooled.copiedBuffer(BODY)), () -> 0));
    }
}
