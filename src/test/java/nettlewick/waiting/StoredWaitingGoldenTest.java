package nettlewick.waiting;

import static nettlewick.golden.GoldenFile.assertMatches;

import java.nio.file.Path;
import java.util.List;
import nettlewick.golden.GoldenFolder;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens a store of waiting jobs that an earlier build wrote and compares what is read, and what goes on from there. */
class StoredWaitingGoldenTest {
    private static final String FOLDER = "waiting/store";
    private static final double NOW = 1_733_356_800_000.0;

    @TempDir
    private Path dir;

    private static WaitStore.Job job(String id, DependencyTracker.OnFailure onFailure, String key, String... after) {
        return new WaitStore.Job(
                new DependencyTracker.JobSpec(
                        id,
                        "blue, \"école\" ✓",
                        "name-" + id,
                        List.of(after),
                        NOW + 1000,
                        NOW + 60_000.5,
                        onFailure,
                        17),
                "save-run",
                2.5,
                300,
                "POST",
                "/api?x=1&y=<2>",
                "{\"a\": 'b'}\n",
                key,
                1,
                0.25,
                40);
    }

    /** Writes the store anew; only where that was asked for. */
    @BeforeAll
    static void record(@TempDir Path made) throws Exception {
        if (!Boolean.getBoolean("golden.record")) {
            return;
        }
        try (WaitStore store = WaitStore.open(made, name -> {})) {
            store.accept(
                    List.of(
                            job("one", DependencyTracker.OnFailure.FAIL, "key"),
                            job("two", DependencyTracker.OnFailure.RUN, null, "one"),
                            job("three", DependencyTracker.OnFailure.SKIP, null, "one", "two"),
                            job("four", DependencyTracker.OnFailure.FAIL, null)),
                    NOW);
            store.release(List.of("one", "two", "four"), NOW + 1);
            store.returnToWaiting("four", NOW + 2);
            store.finish(
                    List.of(
                            new WaitStore.FinishedJob("one", "SUCCEEDED", null, 7),
                            new WaitStore.FinishedJob("three", "FAILED", "the deadline passed", 8)),
                    NOW + 3);
            GoldenFolder.record(made, FOLDER, "-shm");
        }
    }

    private static String jobs(WaitStore store) throws Exception {
        StringBuilder text = new StringBuilder();
        for (WaitStore.StoredJob s : store.load()) {
            WaitStore.Job j = s.job();
            DependencyTracker.JobSpec a = j.spec();
            text.append(String.join(
                            " | ",
                            a.id(),
                            a.tenant(),
                            a.name(),
                            "" + a.predecessors(),
                            "" + a.notBefore(),
                            "" + a.waitUntil(),
                            a.onFailure().name(),
                            "" + a.bytes(),
                            j.requestClass(),
                            "" + j.priorityWeight(),
                            "" + j.run(),
                            j.method(),
                            j.uri(),
                            j.body().trim(),
                            j.idempotencyKey(),
                            "" + j.slots(),
                            "" + j.memory(),
                            "" + j.costHint(),
                            s.state().name(),
                            "" + s.changedAt(),
                            s.zone(),
                            "" + s.attempts(),
                            "" + s.lastEvent(),
                            s.outcome(),
                            s.cause()))
                    .append('\n');
        }
        return text.toString();
    }

    @Test
    void theJobsReadAsTheyDidAndGoOnFromThere() throws Exception {
        GoldenFolder.copy(FOLDER, dir);
        try (WaitStore store = WaitStore.open(dir, name -> {})) {
            String text = jobs(store);
            store.release(List.of("four"), NOW + 10);
            text += "forgotten " + store.deleteFinishedBefore(NOW + 4) + "\n" + jobs(store);
            assertMatches("waiting/read.txt", text);
        }
    }
}
