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

/** Jobs that outlive their process: what is handed in again, and what never is. */
class CrashRecoveryTest {
    /** The process ends here. */
    private static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final double WINDOW = 15_000;

    @TempDir
    private Path dir;

    private static Action after(
            State state, Idempotency repeat, double since, boolean site, int attempts, double left) {
        return CrashRecovery.decide(state, repeat, since, WINDOW, site, attempts, 6, left)
                .action();
    }

    @Test
    void eachClassKeepsItsRule() {
        for (Idempotency repeat : Idempotency.values()) {
            assertEquals(Action.WAIT, after(State.WAITING, repeat, 0, false, 0, 100));
            assertEquals(Action.NOTHING, after(State.ENDED, repeat, 0, true, 1, 100));
        }
        assertEquals(Action.FAIL, after(State.RELEASED, Idempotency.NON_IDEMPOTENT, 0, true, 1, 100));
        assertEquals(Action.RELEASE, after(State.RELEASED, Idempotency.KEYED, WINDOW - 1, true, 1, 100));
        assertEquals(Action.FAIL, after(State.RELEASED, Idempotency.KEYED, WINDOW, true, 1, 100));
        assertEquals(Action.FAIL, after(State.RELEASED, Idempotency.KEYED, -1, true, 1, 100), "the clock went back");
        assertEquals(Action.FAIL, after(State.RELEASED, Idempotency.KEYED, 1, false, 1, 100), "its site is not known");
        assertEquals(Action.RELEASE, after(State.RELEASED, Idempotency.IDEMPOTENT, 1e9, false, 5, 100));
        assertEquals(Action.FAIL, after(State.RELEASED, Idempotency.IDEMPOTENT, 1, false, 6, 100));
        assertEquals(Action.FAIL, after(State.RELEASED, Idempotency.IDEMPOTENT, 1, false, 1, 0));
    }

    private static WaitStore.Job job(String id, String jobClass) {
        return new WaitStore.Job(
                new DependencyTracker.JobSpec(
                        id, "m", "n" + id, List.of("x"), 0, 1e12, DependencyTracker.OnFailure.SKIP, 9),
                jobClass,
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
     * Ended 300 times at any commit: no fragile job is handed in twice, no accepted one is without an end.
     */
    @Test
    void aProcessThatIsEndedAnywhereHandsNoMarkInTwiceAndForgetsNothing() throws Exception {
        Random random = new Random(300);
        Set<String> accepted = new HashSet<>();
        Map<String, Integer> handed = new HashMap<>();
        Set<String> ended = new HashSet<>();
        int crashes = 0;
        int number = 0;
        double now = 1_000_000;
        while (crashes < 300) {
            int[] left = {4 + random.nextInt(12)};
            try (WaitStore store = WaitStore.open(dir, name -> {
                if (left[0]-- == 0) {
                    throw new Crash();
                }
            })) {
                for (WaitStore.StoredJob s : store.load()) {
                    String id = s.job().spec().id();
                    Idempotency repeat =
                            s.job().requestClass().equals("mark") ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENT;
                    Action what = CrashRecovery.decide(
                                    s.state(), repeat, now - s.changedAt(), WINDOW, false, s.attempts(), 6, 1)
                            .action();
                    if (what == Action.FAIL) {
                        store.finish(List.of(new WaitStore.FinishedJob(id, "failed", "it may have run", 1)), now);
                        ended.add(id);
                    } else if (what == Action.RELEASE || what == Action.WAIT && random.nextBoolean()) {
                        store.release(List.of(id), now);
                        handed.merge(id, 1, Integer::sum);
                        if (random.nextBoolean()) {
                            store.finish(List.of(new WaitStore.FinishedJob(id, "result", null, 2)), now);
                            ended.add(id);
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
        try (WaitStore store = WaitStore.open(dir, name -> {})) {
            Map<String, WaitStore.StoredJob> all = new HashMap<>();
            store.load().forEach(s -> all.put(s.job().spec().id(), s));
            assertTrue(all.keySet().containsAll(accepted), "accepted and forgotten");
            for (WaitStore.StoredJob s : all.values()) {
                String id = s.job().spec().id();
                int times = handed.getOrDefault(id, 0);
                assertTrue(times <= (s.job().requestClass().equals("mark") ? 1 : 6), id + " was handed in " + times);
                assertTrue(s.state() != State.WAITING || times == 0, "handed in and not recorded: " + id);
                assertTrue(!ended.contains(id) || s.state() == State.ENDED);
                assertEquals(job(id, s.job().requestClass()), s.job());
            }
            assertTrue(ended.size() > 100 && store.deleteFinishedBefore(now) >= ended.size());
        }
    }

    @Test
    void theFirstEndStaysAndWhatWasTurnedAwayWaitsAgain() throws StoreException {
        try (WaitStore store = WaitStore.open(dir, name -> {})) {
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
