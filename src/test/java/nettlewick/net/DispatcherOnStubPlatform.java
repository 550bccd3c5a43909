package nettlewick.net;

import com.google.gson.Gson;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettlewick.admin.AdminFrontend;
import nettlewick.core.Clock;
import nettlewick.core.UsageRecorder;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;

/** The stub platform with a dispatcher on it. */
public final class DispatcherOnStubPlatform extends nettlewick.stubs.StubPlatform {
    private DispatcherServer dispatcher;
    /** The usage recorder of the next dispatcher. */
    public UsageRecorder usageRecorder = UsageRecorder.NONE;
    /** The clock of the next dispatcher. */
    public Clock clock = Clock.system();

    public DispatcherOnStubPlatform() throws Exception {}

    DispatcherServer dispatcher() {
        return dispatcher;
    }

    public DispatcherServer start(Frontend.Factory... additionalFactories) throws Exception {
        return start(config(), additionalFactories);
    }

    public DispatcherServer start(Map<String, Object> config, Frontend.Factory... additionalFactories)
            throws Exception {
        List<Frontend.Factory> factories = new ArrayList<>(List.of(PlatformFrontend::new));
        factories.addAll(List.of(additionalFactories));
        dispatcher = new DispatcherServer(
                        PlatformConfig.parse(new Gson().toJson(config), Map.of()),
                        clock,
                        factories.toArray(Frontend.Factory[]::new))
                .withUsageRecorder(usageRecorder)
                .withAdminServer(AdminFrontend::new);
        awaitResult(dispatcher.start());
        if (hasEndpoints()) {
            waitUntil(dispatcher::hasEndpointList);
        }
        return dispatcher;
    }

    /** The bytes of a request, as a client sends it. */
    public static Buffer requestBytes(String path, String id, String requestClass, String body, String... headers) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: backend.local\r\n"
                + "X-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Tenant: red\r\nX-Deadline: 4\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return Buffer.buffer(head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    @Override
    public void close() {
        try {
            if (dispatcher != null) {
                awaitResult(dispatcher.close());
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        super.close();
    }
}
