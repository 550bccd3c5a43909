package nettlewick.lease;

import static nettlewick.golden.GoldenFile.assertMatches;

import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import nettlewick.golden.GoldenFolder;
import nettlewick.lease.LeaseMessage.Kind;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens the folder of a voter that an earlier build wrote and compares what it promised and accepted. */
class StoredVoterGoldenTest {
    private static final String FOLDER = "lease/voter";

    @TempDir
    private Path dir;

    private static LeaseMessage ask(Kind kind, String leaseName, long ballot, long version) {
        return LeaseMessage.of(kind, leaseName, 1, 7, ballot)
                .withState(ballot, version, new byte[] {(byte) version, -1, 0});
    }

    /** Writes the folder where recording was requested. */
    @BeforeAll
    static void record(@TempDir Path made) throws Exception {
        if (!Boolean.getBoolean("golden.record")) {
            return;
        }
        try (VoterStore store = VoterStore.openOrRecreate(made)) {
            store.clear();
            LeaseVoter voter = new LeaseVoter(0, List.of(0, 1, 2), new LeaseTerms(1000, 0.05), 0, 1).startVoting();
            voter.handle(ask(Kind.PREPARE, "red", Ballot.of(5, 1, 1), 0), 0);
            voter.handle(ask(Kind.ACCEPT, "red", Ballot.of(5, 1, 1), 3), 0);
            voter.handle(ask(Kind.PREPARE, "blue", Ballot.of(9, 2, 4), 0), 0);
            store.save(voter.unsavedRecords());
            store.markVoting(42, 0);
            GoldenFolder.record(made, FOLDER, "-shm");
        }
    }

    @Test
    void storedPromisesAndAcceptedStatesReadAsRecorded() throws Exception {
        GoldenFolder.copy(FOLDER, dir);
        try (VoterStore store = VoterStore.open(dir)) {
            StringBuilder text = new StringBuilder();
            Map<String, LeaseRecord> known = store.load(42, 0);
            known.forEach((leaseName, r) -> text.append(leaseName)
                    .append(" promised ")
                    .append(r.promisedBallot())
                    .append(" held ")
                    .append(r.acceptedBallot())
                    .append(" version ")
                    .append(r.version())
                    .append(" state ")
                    .append(HexFormat.of().formatHex(r.state()))
                    .append('\n'));
            text.append("as another voter ")
                    .append(store.load(42, 1))
                    .append(", in another list ")
                    .append(store.load(43, 0))
                    .append('\n');
            LeaseVoter back = new LeaseVoter(0, List.of(0, 1, 2), new LeaseTerms(1000, 0.05), 0, 2).restore(known);
            back.tick(1100);
            for (long round : new long[] {4, 6}) {
                LeaseMessage answer = back.handle(ask(Kind.PREPARE, "red", Ballot.of(round, 2, 1), 0), 1100)
                        .get(0)
                        .message();
                text.append("asked in round ")
                        .append(round)
                        .append(": ")
                        .append(answer.kind())
                        .append(" version ")
                        .append(answer.version())
                        .append('\n');
            }
            assertMatches("lease/voter.txt", text.toString());
        }
    }
}
