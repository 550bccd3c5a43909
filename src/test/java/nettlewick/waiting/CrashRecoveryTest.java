package nettlewick.waiting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.sqlite.StoreException;
import nettlewick.waiting.CrashRecovery.Action;
import nettlewick.waiting.CrashRecovery.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Jobs that survive a crash: which are released again, and which never are. */
class CrashRecoveryTest {
    /** Simulates a crash of the process. */
    private static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final double DEDUP_WINDOW_MILLIS = 15_000;

    @TempDir
    private Path directory;

    private static Action actionFor(
            State state,
            Idempotency idempotency,
            double millisSinceRelease,
            boolean zoneKnown,
            int attempts,
            double remainingMillis) {
        return CrashRecovery.decide(
                        state,
                        idempotency,
                        millisSinceRelease,
                        DEDUP_WINDOW_MILLIS,
                        zoneKnown,
                        attempts,
                        6,
                        remainingMillis)
                .action();
    }

    @Test
    void recoveryDependsOnTheIdempotencyOfTheRequestClass() {
        for (Idempotency idempotency : Idempotency.values()) {
            assertEquals(Action.WAIT, actionFor(State.WAITING, idempotency, 0, false, 0, 100));
            assertEquals(Action.NOTHING, actionFor(State.ENDED, idempotency, 0, true, 1, 100));
        }
        assertEquals(Action.FAIL, actionFor(State.RELEASED, Idempotency.NON_IDEMPOTENT, 0, true, 1, 100));
        assertEquals(
                Action.RELEASE, actionFor(State.RELEASED, Idempotency.KEYED, DEDUP_WINDOW_MILLIS - 1, true, 1, 100));
        assertEquals(Action.FAIL, actionFor(State.RELEASED, Idempotency.KEYED, DEDUP_WINDOW_MILLIS, true, 1, 100));
        assertEquals(
                Action.FAIL, actionFor(State.RELEASED, Idempotency.KEYED, -1, true, 1, 100), "the clock was set back");
        assertEquals(
                Action.FAIL, actionFor(State.RELEASED, Idempotency.KEYED, 1, false, 1, 100), "its zone is not known");
        assertEquals(Action.RELEASE, actionFor(State.RELEASED, Idempotency.IDEMPOTENT, 1e9, false, 5, 100));
        assertEquals(Action.FAIL, actionFor(State.RELEASED, Idempotency.IDEMPOTENT, 1, false, 6, 100));
        assertEquals(Action.FAIL, actionFor(State.RELEASED, Idempotency.IDEMPOTENT, 1, false, 1, 0));
    }

    private static WaitStore.Job job(String id, String requestClass) {
        return new WaitStore.Job(
                new DependencyTracker.JobSpec(
                        id, "m", "n" + id, List.of("x"), 0, 1e12, DependencyTracker.OnFailure.SKIP, 9),
                requestClass,
                1,
                4000,
                "POST",
                "/api",
                "{\"é\":1}",
                null,
                1,
                0,
                20);
    }

    /**
     * 300 crashes at random commits: no non-idempotent job is released twice, and no accepted job is lost.
     */
    @Test
    void aCrashAtAnyCommitReleasesNoNonIdempotentJobTwiceAndLosesNone() throws Exception {
        Random random = new Random(300);
        Set<String> accepted = new HashSet<>();
        Map<String, Integer> releaseCounts = new HashMap<>();
        Set<String> finished = new HashSet<>();
        int crashes = 0;
        int number = 0;
        double now = 1_000_000;
        while (crashes < 300) {
            int[] faultPointsLeft = {4 + random.nextInt(12)};
            try (WaitStore store = WaitStore.open(directory, name -> {
                if (faultPointsLeft[0]-- == 0) {
                    throw new Crash();
                }
            })) {
                for (WaitStore.StoredJob stored : store.load()) {
                    String id = stored.job().spec().id();
                    Idempotency idempotency = stored.job().requestClass().equals("mark")
                            ? Idempotency.NON_IDEMPOTENT
                            : Idempotency.IDEMPOTENT;
                    Action action = CrashRecovery.decide(
                                    stored.state(),
                                    idempotency,
                                    now - stored.changedAt(),
                                    DEDUP_WINDOW_MILLIS,
                                    false,
                                    stored.attempts(),
                                    6,
                                    1)
                            .action();
                    if (action == Action.FAIL) {
                        store.finish(List.of(new WaitStore.FinishedJob(id, "failed", "it may have run", 1)), now);
                        finished.add(id);
                    } else if (action == Action.RELEASE || action == Action.WAIT && random.nextBoolean()) {
                        store.release(List.of(id), now);
                        releaseCounts.merge(id, 1, Integer::sum);
                        if (random.nextBoolean()) {
                            store.finish(List.of(new WaitStore.FinishedJob(id, "result", null, 2)), now);
                            finished.add(id);
                        }
                    }
                }
                for (int i = 0; i < 3; i++) {
                    String id = "j" + number++;
                    store.accept(List.of(job(id, random.nextBoolean() ? "mark" : "view")), now);
                    accepted.add(id);
                }
            } catch (Crash e) {
                crashes++;
            }
            now += 100;
        }
        try (WaitStore store = WaitStore.open(directory, name -> {})) {
            Map<String, WaitStore.StoredJob> storedJobs = new HashMap<>();
            store.load().forEach(stored -> storedJobs.put(stored.job().spec().id(), stored));
            assertTrue(storedJobs.keySet().containsAll(accepted), "an accepted job was lost");
            for (WaitStore.StoredJob stored : storedJobs.values()) {
                String id = stored.job().spec().id();
                int releases = releaseCounts.getOrDefault(id, 0);
                assertTrue(
                        releases <= (stored.job().requestClass().equals("mark") ? 1 : 6),
                        id + " was released " + releases);
                assertTrue(stored.state() != State.WAITING || releases == 0, "a release was not recorded: " + id);
                assertTrue(!finished.contains(id) || stored.state() == State.ENDED);
                assertEquals(job(id, stored.job().requestClass()), stored.job());
            }
            assertTrue(finished.size() > 100 && store.deleteFinishedBefore(now) >= finished.size());
        }
    }

    @Test
    void theFirstResultStaysAndARejectedJobWaitsAgain() throws StoreException {
        try (WaitStore store = WaitStore.open(directory, name -> {})) {
            store.accept(List.of(job("a", "view"), job("b", "mark")), 1);
            store.release(List.of("a", "b"), 2);
            store.returnToWaiting("b", 3);
            store.finish(List.of(new WaitStore.FinishedJob("a", "result", null, 4)), 4);
            store.finish(List.of(new WaitStore.FinishedJob("a", "failed", "late", 5)), 5);
            store.release(List.of("a"), 6);
            List<WaitStore.StoredJob> all = store.load();
            assertEquals(
                    List.of(State.WAITING, State.ENDED),
                    all.stream().map(WaitStore.StoredJob::state).toList());
            assertEquals("result", all.get(1).outcome());
            assertEquals(1, all.get(0).attempts());
        }
    }
}
