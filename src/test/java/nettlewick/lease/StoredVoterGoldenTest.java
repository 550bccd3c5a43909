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

/** Opens a voter's folder that an earlier build wrote, and compares the promised ballots and accepted states. */
class StoredVoterGoldenTest {
    private static final String FOLDER = "lease/voter";

    @TempDir
    private Path dir;

    private static LeaseMessage request(Kind kind, String leaseName, long ballot, long version) {
        return LeaseMessage.of(kind, leaseName, 1, 7, ballot)
                .withState(ballot, version, new byte[] {(byte) version, -1, 0});
    }

    /** Writes the folder if recording was requested. */
    @BeforeAll
    static void record(@TempDir Path recordedFolder) throws Exception {
        if (!Boolean.getBoolean("golden.record")) {
            return;
        }
        try (VoterStore store = VoterStore.openOrRecreate(recordedFolder)) {
            store.clear();
            LeaseVoter voter = new LeaseVoter(0, List.of(0, 1, 2), new LeaseParameters(1000, 0.05), 0, 1).startVoting();
            voter.handle(request(Kind.PREPARE, "red", Ballot.of(5, 1, 1), 0), 0);
            voter.handle(request(Kind.ACCEPT, "red", Ballot.of(5, 1, 1), 3), 0);
            voter.handle(request(Kind.PREPARE, "blue", Ballot.of(9, 2, 4), 0), 0);
            store.save(voter.unsavedRecords());
            store.markVoting(42, 0);
            GoldenFolder.record(recordedFolder, FOLDER, "-shm");
        }
    }

    @Test
    void storedPromisesAndAcceptedStatesReadAsRecorded() throws Exception {
        GoldenFolder.copy(FOLDER, dir);
        try (VoterStore store = VoterStore.open(dir)) {
            StringBuilder text = new StringBuilder();
            Map<String, LeaseRecord> storedRecords = store.load(42, 0);
            storedRecords.forEach((leaseName, leaseRecord) -> text.append(leaseName)
                    .append(" promised ")
                    .append(leaseRecord.promisedBallot())
                    .append(" held ")
                    .append(leaseRecord.acceptedBallot())
                    .append(" version ")
                    .append(leaseRecord.version())
                    .append(" state ")
                    .append(HexFormat.of().formatHex(leaseRecord.state()))
                    .append('\n'));
            text.append("as another voter ")
                    .append(store.load(42, 1))
                    .append(", in another list ")
                    .append(store.load(43, 0))
                    .append('\n');
            LeaseVoter restartedVoter =
                    new LeaseVoter(0, List.of(0, 1, 2), new LeaseParameters(1000, 0.05), 0, 2).restore(storedRecords);
            restartedVoter.tick(1100);
            for (long ballotCounter : new long[] {4, 6}) {
                LeaseMessage answer = restartedVoter
                        .handle(request(Kind.PREPARE, "red", Ballot.of(ballotCounter, 2, 1), 0), 1100)
                        .get(0)
                        .message();
                text.append("asked in round ")
                        .append(ballotCounter)
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
