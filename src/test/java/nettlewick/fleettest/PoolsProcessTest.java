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
 * Twelve dispatcher processes that manage tenant pools, with faults between them, the voters, the provider and the
 * endpoints. Every attempt is checked against the pools that its dispatcher knew, every addition against the cap.
 */
@Tag("fleet")
@Timeout(150)
class PoolsProcessTest {
    @TempDir
    private Path dir;

    private int loadSeconds = 18;
    private int requestsPerSecond = 90;
    /** Log events of red's migration at which the lease holder is killed. */
    private List<String> killAtEvents = List.of();
    /** The tenant that the last dispatcher falsely accuses all the time; null if it is honest. */
    private String accusedTenant;

    private Map<String, Double> runScenario(
            String fleetLines, String linkLines, String poolLines, String leaseLines, String stepLines)
            throws Exception {
        Scenario scenario = Scenario.parse(
                "test",
                "world {\nseed 11\ndispatchers 12\nrunners " + (requestsPerSecond == 45 ? 6 : 10) + "\nzone a\nzone b\n"
                        + "slots 2\nqueue 6\n" + fleetLines + "}\nload {\nrate " + requestsPerSecond + "\nlength "
                        + loadSeconds
                        + "s\nwarm 4s\ntries 2\n"
                        + "member red 20%\nmember blue 40%\nmember green 40%\nclass step-view 60% 100ms 1s\n"
                        + "class save-run 20% 100ms 1s\nclass mark-submit 20% 100ms 1s\n}\nlinks {\n" + linkLines
                        + "}\nduty {\n"
                        + "voters 5\nlease 800ms\ncomes 500ms\n" + leaseLines + "}\npools {\n" + poolLines
                        + "reserve 60%\n"
                        + "window 700ms\nsettle 300ms\nclear 700ms\ncome 3s\nstay 3s\nprice std 100 least 1m\nreach 10s\n"
                        + "timeout 1s\n}\nsteps {\n" + stepLines + "}\n");
        try (ScenarioRun run = new ScenarioRun(scenario, dir);
                HostileDispatcher hostile = accusedTenant == null ? null : startHostileDispatcher(run)) {
            run.startFleet(line -> {});
            if (stepLines.contains("provider keeps")) {
                // Set before any load, so that the first request for an endpoint is held back as well.
                run.tenantPools.provider.setBehavior(ProviderServer.Behavior.KEEPS);
            }
            if (!killAtEvents.isEmpty()) {
                Thread watcher = new Thread(() -> killHolderAtEvents(run), "watcher");
                watcher.setDaemon(true);
                watcher.start();
            }
            Map<String, Double> figures = run.run(line -> {});
            assertEquals("", String.join("\n", run.checker().violations()));
            assertEquals(0, figures.get("crashed"), figures::toString);
            return figures;
        }
    }

    private HostileDispatcher startHostileDispatcher(ScenarioRun run) throws Exception {
        int last = run.fleet.dispatchers.size() - 1;
        Path settings = java.nio.file.Files.writeString(dir.resolve("hostile.conf"), run.tenantPools.settings(last));
        return new HostileDispatcher(
                settings,
                "pool-" + accusedTenant,
                run.fleet.dispatchers.stream().map(m -> m.leaseAddress).toList(),
                SimulatedDispatchers.falseReports(accusedTenant, 10));
    }

    private static final String CAPPED_POOLS = "member red cap 1000 most 2\nmember blue\nmember green\n";
    /** Pinned by the operator, so that the migration takes place even on a busy machine. */
    private static final String PINNED_POOLS = CAPPED_POOLS + "keep red pool\n";

    private static void assertAtLeast(Map<String, Double> figures, String name, double min) {
        assertTrue(figures.get(name) >= min, name + " of " + figures);
    }

    /**
     * The lease holder is paused between request and answer for longer than its lease, killed, paused again, killed
     * and shut down, and an endpoint of the pool crashes. Each endpoint must be added only once.
     */
    @Test
    void theLeaseHolderFailsAtEveryStage() throws Exception {
        Map<String, Double> figures = runScenario("", "", PINNED_POOLS, "", """
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
        assertEquals(2, figures.get("provider_added"), figures::toString);
        assertAtLeast(figures, "stale_acts_tried", 1);
        assertEquals(0, figures.get("stale_acts_accepted"), figures::toString);
        assertAtLeast(figures, "holdings", 3 + 5);
        assertAtLeast(figures, "moves", 1);
    }

    /** 30% of the lease tasks' datagrams are lost, zones are partitioned, and requests to the provider are lost. */
    @Test
    void aPartitionDuringAMigration() throws Exception {
        Map<String, Double> figures = runScenario(
                "clock n1 ahead 1h\nclock n2 behind 1h\nclock n7 ahead 3m\n",
                "loss 30%\nduplicates 20%\njitter 30ms\n",
                PINNED_POOLS,
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
        assertEquals(2, figures.get("provider_added"), figures::toString);
        assertAtLeast(figures, "moves", 1);
    }

    /**
     * All dispatchers lose their state at once. Then a cap is nearly reached while the month turns and the lease
     * holder is partitioned from the provider.
     */
    @Test
    void aFleetThatLosesAllStateStaysUnderTheCap() throws Exception {
        Map<String, Double> figures = runScenario(
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
        assertAtLeast(figures, "near_caps", 1);
        assertAtLeast(figures, "provider_added", 1);
        assertTrue(figures.get("provider_added") <= 5, "what two months pay for: " + figures);
    }

    /**
     * All endpoints slow down, a tenant within its quota bursts, and one dispatcher that has the key accuses it all
     * the time, with malformed and repeated messages among them: no tenant may be moved.
     */
    @Test
    void noTenantIsMovedForLoadItDidNotCause() throws Exception {
        accusedTenant = "blue";
        Map<String, Double> figures = runScenario("", "", CAPPED_POOLS, "", """
                at 100ms kill n11
                at 2s slow runners by 5 for 5s
                at 8s rate by 3 for 4s
                at 9s kill holder-blue
                at 13s flood blue by 1.2 for 4s
                """);
        assertAtLeast(figures, "heard", 2);
        assertEquals(0, figures.get("moves"), figures::toString);
        assertEquals(0, figures.get("provider_added"), figures::toString);
    }

    /**
     * Two tenants in pools at the same time share no endpoint. Pools are pinned, because contention cannot be judged
     * reliably on a busy machine.
     */
    @Test
    void twoTenantPoolsShareNoEndpoint() throws Exception {
        loadSeconds = 11;
        Map<String, Double> figures = runScenario(
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
        assertAtLeast(figures, "moves", 2);
        assertAtLeast(figures, "stale_acts_tried", 1);
        assertEquals(0, figures.get("stale_acts_accepted"), figures::toString);
        assertEquals(1, figures.get("provider_added"), figures::toString);
    }

    /**
     * A flooding tenant is detected from the usage reports of twelve dispatchers, moved to a pool, and returned,
     * while the lease holder is killed at the first log line of each step. The run ends once all of it has happened,
     * however long that takes.
     */
    @Test
    void aNoisyTenantIsMovedThoughTheLeaseHolderDiesAtEachStep() throws Exception {
        loadSeconds = 100;
        requestsPerSecond = 45;
        killAtEvents = List.of("pool-reserve", "pool-clear", "pool-open", "pool-close");
        Map<String, Double> figures = runScenario("", "", "member red\nmember blue\nmember green\n", "", """
                at 3s flood red by 14 for 97s
                """);
        assertAtLeast(figures, "moves", 1);
        assertAtLeast(figures, "returns", 1);
        assertAtLeast(figures, "holdings", 3 + 4);
    }

    /**
     * Kills and restarts the dispatcher that first logs each of the events for red. Red sends no more requests once
     * it is in a pool, and the run ends once it has returned.
     */
    private void killHolderAtEvents(ScenarioRun run) {
        java.util.Set<String> seen = new java.util.HashSet<>();
        try {
            while (!run.stopRequested) {
                DispatcherLogs logs = DispatcherLogs.read(dir, run.beganAtUnixMillis);
                for (DispatcherLogs.Line line : logs.lines(killAtEvents)) {
                    if (line.field("member").equals("red") && seen.add(line.event())) {
                        Fleet.DispatcherProcess holder = run.fleet.dispatchers.get(line.dispatcher());
                        run.stepExecutor.post(() -> {
                            run.checker.exempt(holder.number, run.now(), run.now() + 1000, false);
                            run.fleet.kill(holder.number);
                            run.stepExecutor.schedule(run.now() + 1000, () -> run.fleet.start(holder.number));
                        });
                    }
                }
                if (logs.count("pool-open") > 0 && seen.size() == killAtEvents.size() - 1) {
                    run.loadGenerator.requestFilter =
                            request -> !request.tenant().equals("red");
                }
                run.stopRequested = logs.count("pool-none") > 0 && seen.size() == killAtEvents.size();
                java.util.concurrent.TimeUnit.MILLISECONDS.sleep(100);
            }
        } catch (java.io.IOException | InterruptedException e) {
            // The test has ended and its folder was deleted.
        }
    }
}
