package nettlewick.sse;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import nettlewick.core.Request;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What a stream keeps of its request. */
class RequestStreamTest {
    /** The ways in which a request ends. */
    enum End {
        SERVED(stream -> stream.onServed("done".getBytes(StandardCharsets.UTF_8))),
        REJECTED(stream -> stream.onRejected(0)),
        FAILED(stream -> stream.onFailed("broken")),
        ABANDONED(stream -> stream.fail("its client went away"));

        private final Consumer<RequestStream> action;

        End(Consumer<RequestStream> action) {
            this.action = action;
        }
    }

    /** Guards against a heap full of bodies of requests whose streams ended and can still be read again. */
    @ParameterizedTest
    @EnumSource
    void aFinishedStreamReleasesItsRequest(End end) {
        RequestStream stream = new RequestStream("c", null, Runnable::run, finished -> {});
        Request request = new Request("a", "c", null, null, 1000, 1, 0, 0, false, null, stream);
        stream.setRequest(request, null);
        assertSame(request, stream.request());
        end.action.accept(stream);
        assertNull(stream.request());
    }
}
