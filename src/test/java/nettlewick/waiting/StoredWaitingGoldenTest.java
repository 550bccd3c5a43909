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

    private static WaitStore.Job job(String id, Plan.OnFailure onFailure, String key, String... after) {
        return new WaitStore.Job(
                new Plan.Ask(
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
                            job("one", Plan.OnFailure.FAIL, "key"),
                            job("two", Plan.OnFailure.RUN, null, "one"),
                            job("three", Plan.OnFailure.SKIP, null, "one", "two"),
                            job("four", Plan.OnFailure.FAIL, null)),
                    NOW);
            store.release(List.of("one", "two", "four"), NOW + 1);
            store.back("four", NOW + 2);
            store.end(
                    List.of(
                            new WaitStore.Ended("one", "SUCCEEDED", null, 7),
                            new WaitStore.Ended("three", "FAILED", "the deadline passed", 8)),
                    NOW + 3);
            GoldenFolder.record(made, FOLDER, "-shm");
        }
    }

    private static String jobs(WaitStore store) throws Exception {
        StringBuilder text = new StringBuilder();
        for (WaitStore.Stored s : store.load()) {
            WaitStore.Job j = s.job();
            Plan.Ask a = j.ask();
            text.append(String.join(
                            " | ",
                            a.id(),
                            a.member(),
                            a.name(),
                            "" + a.after(),
                            "" + a.notBefore(),
                            "" + a.until(),
                            a.onFailure().name(),
                            "" + a.bytes(),
                            j.jobClass(),
                            "" + j.worth(),
                            "" + j.run(),
                            j.method(),
                            j.uri(),
                            j.body().trim(),
                            j.key(),
                            "" + j.slots(),
                            "" + j.memory(),
                            "" + j.hint(),
                            s.state().name(),
                            "" + s.changed(),
                            s.site(),
                            "" + s.attempts(),
                            "" + s.event(),
                            s.fate(),
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
            text += "forgotten " + store.forget(NOW + 4) + "\n" + jobs(store);
            assertMatches("waiting/read.txt", text);
        }
    }
}
