package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import nettlewick.lease.LeaseMessage.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A voter whose records are stored on disk. */
class VoterStoreTest {
    private static final LeaseParameters PARAMETERS = new LeaseParameters(1000, 0.05);
    private static final List<Integer> VOTERS = List.of(0, 1, 2);

    @TempDir
    private Path dir;

    private static LeaseMessage request(Kind kind, long ballot, long version) {
        return LeaseMessage.of(kind, "red", 1, 7, ballot).withState(ballot, version, new byte[] {(byte) version});
    }

    private static Kind answerKind(LeaseVoter voter, LeaseMessage message, double now) {
        return voter.handle(message, now).get(0).message().kind();
    }

    /** Lets a voter vote, stores the changed record and marks the voter as voting. */
    private void voteAndStore() throws Exception {
        try (VoterStore store = VoterStore.openOrRecreate(dir)) {
            store.clear();
            LeaseVoter voter = new LeaseVoter(0, VOTERS, PARAMETERS, 0, 1).startVoting();
            assertEquals(Kind.PROMISED, answerKind(voter, request(Kind.PREPARE, Ballot.of(5, 1, 1), 0), 0));
            assertEquals(Kind.ACCEPTED, answerKind(voter, request(Kind.ACCEPT, Ballot.of(5, 1, 1), 3), 0));
            assertEquals(1, voter.unsavedRecords().size());
            store.save(voter.unsavedRecords());
            voter.unsavedRecords().clear();
            assertEquals(Kind.ACCEPTED, answerKind(voter, request(Kind.ACCEPT, Ballot.of(5, 1, 1), 3), 300));
            assertTrue(voter.unsavedRecords().isEmpty(), "a renewal alone is not written");
            store.markVoting(42, 0);
        }
    }

    @Test
    void promiseHoldsAfterARestart() throws Exception {
        voteAndStore();
        try (VoterStore store = VoterStore.openOrRecreate(dir)) {
            LeaseVoter restartedVoter = new LeaseVoter(0, VOTERS, PARAMETERS, 0, 2).restore(store.load(42, 0));
            assertEquals(
                    Kind.RECOVERED_RECORD,
                    answerKind(restartedVoter, LeaseMessage.of(Kind.RECOVER, "", 2, 0, 9), 10),
                    "it sends its records to others");
            assertTrue(
                    restartedVoter
                            .handle(request(Kind.PREPARE, Ballot.of(9, 1, 1), 0), 10)
                            .isEmpty(),
                    "it abstains for one lease duration");
            restartedVoter.tick(1100);
            assertTrue(restartedVoter.isVoting(), "it votes without recovering from other voters");
            assertEquals(Kind.REFUSED, answerKind(restartedVoter, request(Kind.PREPARE, Ballot.of(4, 1, 1), 0), 1100));
            LeaseMessage promised = restartedVoter
                    .handle(request(Kind.PREPARE, Ballot.of(6, 2, 1), 0), 1100)
                    .get(0)
                    .message();
            assertEquals(Kind.PROMISED, promised.kind());
            assertEquals(3, promised.version());
        }
    }

    /** Otherwise an incomplete store would be mistaken for everything that the voter ever promised. */
    @Test
    void voterThatHasNotVotedYetRestoresNothing() throws Exception {
        try (VoterStore store = VoterStore.openOrRecreate(dir)) {
            store.clear();
            store.save(Map.of("red", LeaseRecord.EMPTY));
        }
        try (VoterStore store = VoterStore.openOrRecreate(dir)) {
            assertNull(store.load(42, 0));
        }
    }

    @Test
    void foreignOrDamagedFolderRestoresNothing() throws Exception {
        voteAndStore();
        try (VoterStore store = VoterStore.openOrRecreate(dir)) {
            assertNull(store.load(42, 1), "the store of another voter");
            assertNull(store.load(43, 0), "the store of another membership");
            assertEquals(1, store.load(42, 0).size());
        }
        Files.write(
                dir.resolve("voter.sqlite"),
                "not a database, but long enough to be read as one".repeat(100).getBytes());
        try (VoterStore store = VoterStore.openOrRecreate(dir)) {
            assertNull(store.load(42, 0));
            assertTrue(Files.exists(dir.resolve("voter.sqlite.damaged")));
        }
        assertFalse(Files.exists(dir.resolve("nothing")));
    }
}
