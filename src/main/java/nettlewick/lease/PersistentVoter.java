package nettlewick.lease;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import nettlewick.lease.LeaseMessage.Post;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/** A voter, and the folder where it keeps what it promised and accepted, if there is one. */
final class PersistentVoter {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");

    private final LeaseSettings settings;
    private final LeaseVoter voter;
    /** Null where a voter's memory is its process's. */
    private final VoterStore store;
    /** Whether the store says that this voter votes. */
    private boolean begun;

    /** @throws IOException where the folder cannot be had */
    PersistentVoter(LeaseSettings settings, double now, int life) throws IOException {
        this.settings = settings;
        voter = new LeaseVoter(settings.number(), settings.voters(), settings.terms(), now, life);
        store = settings.folder() == null ? null : remember();
    }

    private VoterStore remember() throws IOException {
        try {
            VoterStore opened = VoterStore.openOrAnew(settings.folder());
            Map<String, LeaseVoter.Register> known = opened.load(settings.list(), settings.number());
            if (known != null) {
                voter.remembering(known);
                begun = true;
            } else {
                opened.forget();
            }
            LOG.info(
                    "voter-remembers",
                    known == null ? "a voter's memory begins" : "a voter's memory is back",
                    "duties",
                    known == null ? 0 : known.size());
            return opened;
        } catch (StoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Its answers to a message, once what they promise is kept. */
    List<Post> hear(LeaseMessage m, double now) {
        return saying(() -> voter.hear(m, now));
    }

    /** What it asks of its own accord. */
    List<Post> tick(double now) {
        return saying(() -> voter.tick(now));
    }

    private List<Post> saying(Supplier<List<Post>> words) {
        boolean before = voter.votes();
        List<Post> out = words.get();
        boolean saved = saved();
        if (!before && voter.votes()) {
            LOG.info("votes", "votes on duties from now on", "dispatcher", settings.number());
        }
        return saved ? out : List.of();
    }

    /** Danger: a promise that a power loss takes back is none. What cannot be saved is not said. */
    private boolean saved() {
        if (store == null) {
            voter.changed().clear();
            return true;
        }
        try {
            if (!voter.changed().isEmpty()) {
                store.save(voter.changed());
                voter.changed().clear();
            }
            if (voter.votes() && !begun) {
                store.begin(settings.list(), settings.number());
                begun = true;
            }
            return true;
        } catch (StoreException e) {
            LOG.warning("voter-not-stored", "a vote is held back: " + e.getMessage());
            return false;
        }
    }

    void close() {
        if (store != null) {
            store.close();
        }
    }
}
