package nettlewick.pcap;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** An HTTP request from a capture file; {@code capturedAtMillis} is the time at which its last byte was captured. */
record RecordedRequest(double capturedAtMillis, String method, String uri, MultiMap headers, Buffer body) {}
