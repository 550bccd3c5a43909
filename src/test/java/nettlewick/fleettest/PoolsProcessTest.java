package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import nettlewick.contention.SimulatedDispatchers;
import nettlewick.lease.HostileDispatcher;
import nettlewick.stubs.ProviderServer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Twelve real dispatchers that look after members' pools, with faults between them, the voters, the provider and
 * the runners. Every arrival is held against what its dispatcher had been told, every addition against the cap.
 */
@Tag("fleet")
@Timeout(150)
class PoolsProcessTest {
    @TempDir
    private Path dir;

    private int seconds = 18;
    private int rate = 90;
    /** Steps of red's move at which whoever holds its duty is killed. */
    private List<String> watched = List.of();
    /** Whom the last dispatcher blames all the time; null: it is an honest one. */
    private String blamed;

    private Map<String, Double> play(String world, String links, String members, String duty, String steps)
            throws Exception {
        Scenario scenario = Scenario.parse(
                "test",
                "world {\nseed 11\ndispatchers 12\nrunners " + (rate == 45 ? 6 : 10) + "\nzone a\nzone b\n"
                        + "slots 2\nqueue 6\n" + world + "}\nload {\nrate " + rate + "\nlength " + seconds
                        + "s\nwarm 4s\ntries 2\n"
                        + "member red 20%\nmember blue 40%\nmember green 40%\nclass step-view 60% 100ms 1s\n"
                        + "class save-run 20% 100ms 1s\nclass mark-submit 20% 100ms 1s\n}\nlinks {\n" + links
                        + "}\nduty {\n"
                        + "voters 5\nlease 800ms\ncomes 500ms\n" + duty + "}\npools {\n" + members + "reserve 60%\n"
                        + "window 700ms\nsettle 300ms\nclear 700ms\ncome 3s\nstay 3s\nprice std 100 least 1m\nreach 10s\n"
                        + "timeout 1s\n}\nsteps {\n" + steps + "}\n");
        try (ScenarioRun play = new ScenarioRun(scenario, dir);
                HostileDispatcher hostile = blamed == null ? null : hostile(play)) {
            play.start(line -> {});
            if (steps.contains("provider keeps")) {
                // Before any load: even the first wish for a runner waits.
                play.duties.provider.setBehavior(ProviderServer.Behavior.KEEPS);
            }
            if (!watched.isEmpty()) {
                Thread watcher = new Thread(() -> watch(play), "watcher");
                watcher.setDaemon(true);
                watcher.start();
            }
            Map<String, Double> figures = play.run(line -> {});
            assertEquals("", String.join("\n", play.audit().breaks()));
            assertEquals(0, figures.get("crashed"), figures::toString);
            return figures;
        }
    }

    private HostileDispatcher hostile(ScenarioRun play) throws Exception {
        int last = play.fleet.members.size() - 1;
        Path settings = java.nio.file.Files.writeString(dir.resolve("hostile.conf"), play.duties.settings(last));
        return new HostileDispatcher(
                settings,
                "pool-" + blamed,
                play.fleet.members.stream().map(m -> m.duty).toList(),
                SimulatedDispatchers.falseReports(blamed, 10));
    }

    private static final String CAPPED = "member red cap 1000 most 2\nmember blue\nmember green\n";
    /** By the operators' will, so that each step comes whatever else the machine does. */
    private static final String KEPT = CAPPED + "keep red pool\n";

    private static void least(Map<String, Double> figures, String name, double least) {
        assertTrue(figures.get(name) >= least, name + " of " + figures);
    }

    /**
     * The holder is stopped between request and answer for longer than its lease, then killed, stopped again, killed and
     * ended; a runner of the pool crashes. What is added is added once.
     */
    @Test
    void theHolderDiesInEveryPlace() throws Exception {
        Map<String, Double> f = play("", "", KEPT, "", """
                at 100ms provider keeps for 8s
                at 500ms flood red by 8 for 17s
                at 3s pause holder-red for 2s
                at 6s kill holder-red
                at 6500ms start dispatchers
                at 8s pause holder-red for 2s
                at 8500ms kill s4
                at 10s kill holder-red
                at 11s start dispatchers
                at 12s start s4
                at 13s end holder-red
                at 14s start dispatchers
                """);
        assertEquals(2, f.get("provider_added"), f::toString);
        least(f, "stale_acts_tried", 1);
        assertEquals(0, f.get("stale_acts_accepted"), f::toString);
        least(f, "holdings", 3 + 5);
        least(f, "moves", 1);
    }

    /** A third of the duties' datagrams lost, halves that cannot hear one another, requests kept by the network. */
    @Test
    void theTierIsCutWhileAMoveIsUnderWay() throws Exception {
        Map<String, Double> f = play(
                "clock n1 ahead 1h\nclock n2 behind 1h\nclock n7 ahead 3m\n",
                "loss 30%\nduplicates 20%\njitter 30ms\n",
                KEPT,
                "",
                """
                at 100ms provider loses for 4s
                at 500ms flood red by 8 for 17s
                at 1s cut zone a from b for 2s
                at 4s mute holder-red to dispatchers for 2s
                at 6s cut holder-red from dispatchers for 1500ms
                at 7s cut holder-red from provider for 5s
                at 8s mute dispatchers to holder-red for 2s
                at 10s cut zone a from b for 3s
                at 12s kill n0
                at 12s kill n1
                at 13s start dispatchers
                at 15s kill n2
                at 16s start dispatchers
                """);
        assertEquals(2, f.get("provider_added"), f::toString);
        least(f, "moves", 1);
    }

    /** All lose their memory at once; and a cap that is nearly reached, in a month that turns while the holder is cut off. */
    @Test
    void aTierThatHasForgottenAllStaysUnderTheCap() throws Exception {
        Map<String, Double> f = play(
                "",
                "",
                "member red cap 6 most 6\nmember blue\nmember green\nkeep red pool\n",
                "month-turns 22s\n",
                """
                at 100ms provider down for 2s
                at 500ms flood red by 8 for 17s
                at 5s rate by 0 for 6s
                at 7s kill dispatchers
                at 8s start dispatchers
                at 12s cut holder-red from provider for 4s
                """);
        least(f, "near_caps", 1);
        least(f, "provider_added", 1);
        assertTrue(f.get("provider_added") <= 5, "what two months pay for: " + f);
    }

    /**
     * All runners slow down, a member that is within its share bursts, and one dispatcher that has the key blames it all
     * the time, with garbled words and words that come twice among them: nobody is moved.
     */
    @Test
    void nobodyIsMovedForWhatIsNotItsDoing() throws Exception {
        blamed = "blue";
        Map<String, Double> f = play("", "", CAPPED, "", """
                at 100ms kill n11
                at 2s slow runners by 5 for 5s
                at 8s rate by 3 for 4s
                at 9s kill holder-blue
                at 13s flood blue by 1.2 for 4s
                """);
        least(f, "heard", 2);
        assertEquals(0, f.get("moves"), f::toString);
        assertEquals(0, f.get("provider_added"), f::toString);
    }

    /** Two at once are in pools that share no runner. Whose work is noisy is no verdict of a busy machine's. */
    @Test
    void twoMembersInPoolsShareNoRunner() throws Exception {
        seconds = 11;
        Map<String, Double> f = play(
                "",
                "",
                "member red cap 1000 most 1\nmember blue\nmember green\nkeep green common\n"
                        + "keep red pool\nkeep blue pool\n",
                "",
                """
                at 100ms provider keeps for 8s
                at 300ms kill holder-blue
                at 400ms start dispatchers
                at 500ms flood red by 7 for 9s
                at 500ms flood blue by 4 for 9s
                at 4s kill holder-red
                at 6s kill s1
                at 9s start s1
                """);
        least(f, "moves", 2);
        least(f, "stale_acts_tried", 1);
        assertEquals(0, f.get("stale_acts_accepted"), f::toString);
        assertEquals(1, f.get("provider_added"), f::toString);
    }

    /**
     * One that floods is found by what twelve dispatchers see of it, moved, and brought back; whoever holds the duty is
     * killed at the first sight of each step. However long it takes: the run ends when it has happened.
     */
    @Test
    void aNoisyMemberIsFoundAndMovedThoughItsHolderDiesAtEachStep() throws Exception {
        seconds = 100;
        rate = 45;
        watched = List.of("pool-reserve", "pool-clear", "pool-open", "pool-close");
        Map<String, Double> f = play("", "", "member red\nmember blue\nmember green\n", "", """
                at 3s flood red by 14 for 97s
                """);
        least(f, "moves", 1);
        least(f, "returns", 1);
        least(f, "holdings", 3 + 4);
    }

    /**
     * Kills the dispatcher that first says each of these of red, and starts it again. Red asks for nothing more once it is
     * in a pool, and the run ends once it is back.
     */
    private void watch(ScenarioRun play) {
        java.util.Set<String> seen = new java.util.HashSet<>();
        try {
            while (!play.enough) {
                MigrationAudit moves = MigrationAudit.read(dir, play.wall);
                for (MigrationAudit.Line l : moves.lines(watched)) {
                    if (l.field("member").equals("red") && seen.add(l.event())) {
                        Fleet.DispatcherProcess holder = play.fleet.members.get(l.dispatcher());
                        play.steps.post(() -> {
                            play.audit.excuse(holder.number, play.now(), play.now() + 1000, false);
                            play.fleet.kill(holder.number);
                            play.steps.plan(play.now() + 1000, () -> play.fleet.start(holder.number));
                        });
                    }
                }
                if (moves.count("pool-open") > 0 && seen.size() == watched.size() - 1) {
                    play.clients.asks = a -> !a.member().equals("red");
                }
                play.enough = moves.count("pool-none") > 0 && seen.size() == watched.size();
                java.util.concurrent.TimeUnit.MILLISECONDS.sleep(100);
            }
        } catch (java.io.IOException | InterruptedException e) {
            // the folder goes with its test
        }
    }
}
