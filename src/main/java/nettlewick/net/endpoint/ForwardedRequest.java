package nettlewick.net.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import nettlewick.core.Request;

/** What of an RPC goes on to a sim runner as it came: method, path with query, body and idempotency key. */
public record ForwardedRequest(HttpMethod method, String uri, Buffer body, String idempotencyKey)
        implements Request.Keyed {}
