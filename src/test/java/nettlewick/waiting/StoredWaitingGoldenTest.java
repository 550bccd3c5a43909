package nettlewick.waiting;

import static nettlewick.golden.GoldenFile.assertMatches;

import java.nio.file.Path;
import java.util.List;
import nettlewick.golden.GoldenFolder;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens a store of waiting jobs that an earlier build wrote, compares what is read, and updates it. */
class StoredWaitingGoldenTest {
    private static final String FOLDER = "waiting/store";
    private static final double NOW = 1_733_356_800_000.0;

    @TempDir
    private Path directory;

    private static WaitStore.Job job(
            String id, DependencyTracker.OnFailure onFailure, String key, String... predecessors) {
        return new WaitStore.Job(
                new DependencyTracker.JobSpec(
                        id,
                        "blue, \"école\" ✓",
                        "name-" + id,
                        List.of(predecessors),
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

    /** Writes the golden store if the system property golden.record is set. */
    @BeforeAll
    static void recordStore(@TempDir Path directory) throws Exception {
        if (!Boolean.getBoolean("golden.record")) {
            return;
        }
        try (WaitStore store = WaitStore.open(directory, name -> {})) {
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
            GoldenFolder.record(directory, FOLDER, "-shm");
        }
    }

    private static String jobs(WaitStore store) throws Exception {
        StringBuilder text = new StringBuilder();
        for (WaitStore.StoredJob stored : store.load()) {
            WaitStore.Job job = stored.job();
            DependencyTracker.JobSpec spec = job.spec();
            text.append(String.join(
                            " | ",
                            spec.id(),
                            spec.tenant(),
                            spec.name(),
                            "" + spec.predecessors(),
                            "" + spec.notBefore(),
                            "" + spec.waitUntil(),
                            spec.onFailure().name(),
                            "" + spec.bytes(),
                            job.requestClass(),
                            "" + job.priorityWeight(),
                            "" + job.run(),
                            job.method(),
                            job.uri(),
                            job.body().trim(),
                            job.idempotencyKey(),
                            "" + job.slots(),
                            "" + job.memory(),
                            "" + job.costHint(),
                            stored.state().name(),
                            "" + stored.changedAt(),
                            stored.zone(),
                            "" + stored.attempts(),
                            "" + stored.lastEvent(),
                            stored.outcome(),
                            stored.cause()))
                    .append('\n');
        }
        return text.toString();
    }

    @Test
    void storedJobsAreReadAndCanBeUpdated() throws Exception {
        GoldenFolder.copy(FOLDER, directory);
        try (WaitStore store = WaitStore.open(directory, name -> {})) {
            String text = jobs(store);
            store.release(List.of("four"), NOW + 10);
            text += "forgotten " + store.deleteFinishedBefore(NOW + 4) + "\n" + jobs(store);
            assertMatches("waiting/read.txt", text);
        }
    }
}
