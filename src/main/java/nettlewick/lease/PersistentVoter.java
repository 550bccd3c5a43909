package nettlewick.lease;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import nettlewick.lease.LeaseMessage.Outgoing;
import nettlewick.log.ComponentLogger;
import nettlewick.sqlite.StoreException;

/**
 * A voter with durable records, if the settings name a folder for them. Messages that depend on a record are returned
 * only after the record is stored. Confined to the lease thread.
 */
final class PersistentVoter implements AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");

    private final LeaseSettings settings;
    private final LeaseVoter voter;
    /** Null if the records are kept in memory only. */
    private final VoterStore store;
    /** Whether the store is marked as a voting voter's, so that its records are restored after a restart. */
    private boolean isMarkedVoting;

    /** @throws IOException if the folder cannot be used */
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

    /** Returns the answers to a message, or none if the records that they depend on cannot be stored. */
    List<Outgoing> handle(LeaseMessage message, double nowMillis) {
        return storeBeforeSending(() -> voter.handle(message, nowMillis));
    }

    /** Returns the requests to other voters, or none if the records that they depend on cannot be stored. */
    List<Outgoing> tick(double nowMillis) {
        return storeBeforeSending(() -> voter.tick(nowMillis));
    }

    private List<Outgoing> storeBeforeSending(Supplier<List<Outgoing>> handler) {
        boolean wasVoting = voter.isVoting();
        List<Outgoing> out = handler.get();
        boolean isStored = storeChanges();
        if (!wasVoting && voter.isVoting()) {
            LOG.info("votes", "the voter has recovered and starts voting", "dispatcher", settings.dispatcher());
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
            LOG.warning("voter-not-stored", "withholds a vote that cannot be stored: " + e.getMessage());
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
