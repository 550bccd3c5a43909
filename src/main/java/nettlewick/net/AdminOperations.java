package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.Map;
import nettlewick.core.Metrics;
import nettlewick.log.ComponentLogger;

/** The operations that the admin frontend offers on a dispatcher. Called on the admin event loop. */
final class AdminOperations implements Operations {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    private final DispatcherServer dispatcher;

    AdminOperations(DispatcherServer dispatcher) {
        this.dispatcher = dispatcher;
    }

    @Override
    public boolean isReady() {
        return dispatcher.isReady();
    }

    @Override
    public Metrics.Snapshot metrics() {
        return dispatcher.coordinator().metrics().snapshot();
    }

    @Override
    public Map<String, Number> additionalMetrics() {
        return dispatcher.additionalMetrics();
    }

    @Override
    public Future<Boolean> setEndpointDisabled(String endpoint, boolean disabled) {
        Promise<Boolean> done = Promise.promise();
        dispatcher.eventLoop().runOnContext(v -> storeAndApply(endpoint, disabled, done));
        return done.future();
    }

    /**
     * Writes the change to disk before it takes effect and before success is reported, so that a restart
     * cannot lose a change that was confirmed.
     */
    private void storeAndApply(String endpoint, boolean disabled, Promise<Boolean> done) {
        if (!dispatcher.endpointPools().isListed(endpoint)
                && !dispatcher.disabledEndpoints().isDisabled(endpoint)) {
            done.complete(false);
            return;
        }
        try {
            dispatcher
                    .disabledEndpoints()
                    .setDisabled(endpoint, disabled, dispatcher.clock().nowMillis())
                    .forEach(dispatcher::applyDisabledEndpoint);
            LOG.info(
                    disabled ? "taken-out" : "put-back",
                    "endpoint " + endpoint + (disabled ? " disabled by an operator" : " enabled by an operator"),
                    "runner",
                    endpoint);
            done.complete(true);
        } catch (IOException e) {
            LOG.warning(
                    "ban-not-stored",
                    "cannot store that endpoint " + endpoint + (disabled ? " is disabled: " : " is enabled: ") + e,
                    "runner",
                    endpoint);
            done.fail(e);
        }
    }

    @Override
    public boolean startDraining() {
        boolean accepted = dispatcher.serviceState().drain(dispatcher.clock().nowMillis());
        LOG.info(
                accepted ? "drained" : "drain-refused",
                accepted ? "drained by an operator" : "drain refused: the process is starting or shutting down");
        return accepted;
    }

    @Override
    public boolean stopDraining() {
        boolean accepted = dispatcher.serviceState().resume();
        LOG.info(
                accepted ? "resumed" : "resume-refused",
                accepted ? "resumed by an operator" : "resume refused: the process is shutting down");
        return accepted;
    }
}
