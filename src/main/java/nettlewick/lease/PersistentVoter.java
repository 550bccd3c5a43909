package nettlewick.lease;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import nettlewick.lease.LeaseMessage.Outgoing;
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
    PersistentVoter(LeaseSettings settings, double now, int incarnation) throws IOException {
        this.settings = settings;
        voter = new LeaseVoter(settings.dispatcher(), settings.voters(), settings.terms(), now, incarnation);
        store = settings.voterFolder() == null ? null : remember();
    }

    private VoterStore remember() throws IOException {
        try {
            VoterStore opened = VoterStore.openOrRecreate(settings.voterFolder());
            Map<String, LeaseVoter.LeaseRecord> known = opened.load(settings.membershipHash(), settings.dispatcher());
            if (known != null) {
                voter.restore(known);
                begun = true;
            } else {
                opened.clear();
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
    List<Outgoing> handle(LeaseMessage message, double now) {
        return saying(() -> voter.handle(message, now));
    }

    /** What it asks of its own accord. */
    List<Outgoing> tick(double now) {
        return saying(() -> voter.tick(now));
    }

    private List<Outgoing> saying(Supplier<List<Outgoing>> reports) {
        boolean before = voter.isVoting();
        List<Outgoing> out = reports.get();
        boolean saved = saved();
        if (!before && voter.isVoting()) {
            LOG.info("votes", "votes on duties from now on", "dispatcher", settings.dispatcher());
        }
        return saved ? out : List.of();
    }

    /** Danger: a promise that a power loss takes back is none. What cannot be saved is not said. */
    private boolean saved() {
        if (store == null) {
            voter.unsavedRecords().clear();
            return true;
        }
        try {
            if (!voter.unsavedRecords().isEmpty()) {
                store.save(voter.unsavedRecords());
                voter.unsavedRecords().clear();
            }
            if (voter.isVoting() && !begun) {
                store.markVoting(settings.membershipHash(), settings.dispatcher());
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
