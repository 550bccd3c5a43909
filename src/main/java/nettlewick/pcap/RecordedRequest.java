package nettlewick.pcap;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** An HTTP request from a capture; {@code capturedAtMillis} is when its last byte was captured. */
record RecordedRequest(double capturedAtMillis, String method, String uri, MultiMap headers, Buffer body) {}
