package nettlewick.net.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import nettlewick.core.Request;

/**
 * The parts of a request that are forwarded to an endpoint unchanged: method, path with query, body and
 * idempotency key.
 */
public record ForwardedRequest(HttpMethod method, String uri, Buffer body, String idempotencyKey)
        implements Request.IdempotencyKeyed {}
