package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.Map;
import nettlewick.admin.Operations;
import nettlewick.core.Metrics;
import nettlewick.log.ComponentLogger;

/** What operators may ask of a node and tell it. */
final class AdminOperations implements Operations {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    private final DispatcherServer node;

    AdminOperations(DispatcherServer node) {
        this.node = node;
    }

    @Override
    public boolean ready() {
        return node.ready();
    }

    @Override
    public Metrics.Snapshot figures() {
        return node.core.figures().snapshot();
    }

    @Override
    public Map<String, Number> more() {
        return node.moreFigures();
    }

    @Override
    public Future<Boolean> ban(String endpoint, boolean out) {
        Promise<Boolean> done = Promise.promise();
        node.loop.runOnContext(v -> take(endpoint, out, done));
        return done.future();
    }

    /** Stored first, then in force, then the yes: a yes that a restart forgets would be none. */
    private void take(String endpoint, boolean out, Promise<Boolean> done) {
        if (!node.subchannels.lists(endpoint) && !node.bans.out(endpoint)) {
            done.complete(false);
            return;
        }
        try {
            node.bans.set(endpoint, out, node.clock.now()).forEach(node::heed);
            LOG.info(
                    out ? "taken-out" : "put-back",
                    "sim runner " + endpoint + (out ? " taken out by hand" : " put back by hand"),
                    "runner",
                    endpoint);
            done.complete(true);
        } catch (IOException e) {
            LOG.warning(
                    "ban-not-stored",
                    "cannot store that " + endpoint + (out ? " is out: " : " is back: ") + e,
                    "runner",
                    endpoint);
            done.fail(e);
        }
    }

    @Override
    public boolean drain() {
        boolean drains = node.state().drain(node.clock.now());
        LOG.info(
                drains ? "drained" : "drain-refused",
                drains ? "drained by hand" : "drain refused: this process starts or ends");
        return drains;
    }

    @Override
    public boolean resume() {
        boolean resumes = node.state().resume();
        LOG.info(
                resumes ? "resumed" : "resume-refused",
                resumes ? "resumed by hand" : "resume refused: this process ends");
        return resumes;
    }
}
