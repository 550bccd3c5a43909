package nettlewick.lease;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import nettlewick.lease.LeaseMessage.Outgoing;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/**
 * A voter together with the folder that keeps its records, if the settings name one. Messages that depend on a record
 * are returned only once it is stored. Belongs to the lease thread.
 */
final class PersistentVoter implements AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");

    private final LeaseSettings settings;
    private final LeaseVoter voter;
    /** Null where the records last only as long as the process. */
    private final VoterStore store;
    /** Whether the store says that this voter votes, so that its records count after a restart. */
    private boolean isMarkedVoting;

    /** @throws IOException where the folder cannot be used */
    PersistentVoter(LeaseSettings settings, double nowMillis, int incarnation) throws IOException {
        this.settings = settings;
        voter = new LeaseVoter(settings.dispatcher(), settings.voters(), settings.parameters(), nowMillis, incarnation);
        store = settings.voterFolder() == null ? null : openAndRestore();
    }

    private VoterStore openAndRestore() throws IOException {
        try {
            VoterStore opened = VoterStore.openOrRecreate(settings.voterFolder());
            Map<String, LeaseRecord> storedRecords = opened.load(settings.membershipHash(), settings.dispatcher());
            if (storedRecords != null) {
                voter.restore(storedRecords);
                isMarkedVoting = true;
            } else {
                opened.clear();
            }
            LOG.info(
                    "voter-remembers",
                    storedRecords == null ? "the voter starts without records" : "the voter's records are restored",
                    "duties",
                    storedRecords == null ? 0 : storedRecords.size());
            return opened;
        } catch (StoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Its answers to a message; empty where the records that they depend on cannot be stored. */
    List<Outgoing> handle(LeaseMessage message, double nowMillis) {
        return storeBeforeSending(() -> voter.handle(message, nowMillis));
    }

    /** Its requests to other voters; empty where the records that they depend on cannot be stored. */
    List<Outgoing> tick(double nowMillis) {
        return storeBeforeSending(() -> voter.tick(nowMillis));
    }

    private List<Outgoing> storeBeforeSending(Supplier<List<Outgoing>> handler) {
        boolean wasVoting = voter.isVoting();
        List<Outgoing> out = handler.get();
        boolean isStored = storeChanges();
        if (!wasVoting && voter.isVoting()) {
            LOG.info("votes", "votes on duties from now on", "dispatcher", settings.dispatcher());
        }
        return isStored ? out : List.of();
    }

    private boolean storeChanges() {
        if (store == null) {
            voter.unsavedRecords().clear();
            return true;
        }
        try {
            if (!voter.unsavedRecords().isEmpty()) {
                store.save(voter.unsavedRecords());
                voter.unsavedRecords().clear();
            }
            if (voter.isVoting() && !isMarkedVoting) {
                store.markVoting(settings.membershipHash(), settings.dispatcher());
                isMarkedVoting = true;
            }
            return true;
        } catch (StoreException e) {
            LOG.warning("voter-not-stored", "a vote is withheld: " + e.getMessage());
            return false;
        }
    }

    @Override
    public void close() {
        if (store != null) {
            store.close();
        }
    }
}
