package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.Map;
import nettlewick.admin.Operations;
import nettlewick.core.Figures;
import nettlewick.log.Part;

/** What operators may ask of a node and tell it. */
final class NodeOperations implements Operations {
    private static final Part LOG = Part.of("node");
    private final Node node;

    NodeOperations(Node node) {
        this.node = node;
    }

    @Override
    public boolean ready() {
        return node.ready();
    }

    @Override
    public Figures.Snapshot figures() {
        return node.core.figures().snapshot();
    }

    @Override
    public Map<String, Number> more() {
        return node.moreFigures();
    }

    @Override
    public Future<Boolean> ban(String runner, boolean out) {
        Promise<Boolean> done = Promise.promise();
        node.loop.runOnContext(v -> take(runner, out, done));
        return done.future();
    }

    /** Stored first, then in force, then the yes: a yes that a restart forgets would be none. */
    private void take(String runner, boolean out, Promise<Boolean> done) {
        if (!node.subchannels.lists(runner) && !node.bans.out(runner)) {
            done.complete(false);
            return;
        }
        try {
            node.bans.set(runner, out, node.clock.now()).forEach(node::heed);
            LOG.info(
                    out ? "taken-out" : "put-back",
                    "sim runner " + runner + (out ? " taken out by hand" : " put back by hand"),
                    "runner",
                    runner);
            done.complete(true);
        } catch (IOException e) {
            LOG.warning(
                    "ban-not-stored",
                    "cannot store that " + runner + (out ? " is out: " : " is back: ") + e,
                    "runner",
                    runner);
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
