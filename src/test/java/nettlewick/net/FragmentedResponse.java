package nettlewick.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

/** A response of lines, one chunk each, that is written in two fragments. */
public final class FragmentedResponse {
    private final Buffer bytes = Buffer.buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");

    /** Appends a line and its line break as a chunk. */
    public FragmentedResponse line(String line) {
        Buffer text = Buffer.buffer(line + "\n");
        bytes.appendString(Integer.toHexString(text.length()) + "\r\n")
                .appendBuffer(text)
                .appendString("\r\n");
        return this;
    }

    /** Appends the end of the response. */
    public FragmentedResponse end() {
        bytes.appendString("0\r\n\r\n");
        return this;
    }

    public int length() {
        return bytes.length();
    }

    /** Writes the first {@code cut} bytes, and the others a little later. */
    public void write(Vertx vertx, NetSocket socket, int cut) {
        socket.write(bytes.slice(0, cut));
        vertx.setTimer(1, id -> socket.write(bytes.slice(cut, bytes.length())));
    }
}
