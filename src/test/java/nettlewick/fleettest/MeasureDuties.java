package nettlewick.fleettest;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import nettlewick.contention.SimulatedDispatchers;
import nettlewick.lease.SimulatedLeaseTier;

/**
 * Measures tenant pools with many processes and tenants, against the same fleet with pools switched off and against a
 * load without the noisy tenant. The last lines are name=value. Needs all cores.
 */
final class MeasureDuties {
    private static final double SLOTS = 2;
    private static final double MEAN_WORK_SECONDS = 0.1;
    /** Fraction of all slots that the load without floods uses. */
    private static final double UTILIZATION = 0.5;

    private static final double NOISY_TENANT_FRACTION = 0.1;
    private static final double FLOOD_FACTOR = 25;
    private static final double LOSS_FRACTION = 0.2;

    private MeasureDuties() {}

    /** @param args dispatchers, endpoints, tenants, seconds of load; by default 100, 20, 30 and 50 */
    public static void main(String[] args) throws Exception {
        int dispatchers = arg(args, 0, 100);
        int endpoints = arg(args, 1, 20);
        int tenants = arg(args, 2, 30);
        int seconds = arg(args, 3, 50);
        StringBuilder load = new StringBuilder();
        StringBuilder pools = new StringBuilder("member red cap 2000 most 4\n");
        load.append("member red ").append((int) (100 * NOISY_TENANT_FRACTION)).append("%\n");
        for (int tenant = 1; tenant < tenants; tenant++) {
            load.append(String.format(
                    Locale.ROOT, "member m%d %.4f%%%n", tenant, 100 * (1 - NOISY_TENANT_FRACTION) / (tenants - 1)));
            pools.append("member m").append(tenant).append('\n');
        }
        Scenario withPools = scenario(
                dispatchers,
                endpoints,
                seconds,
                load,
                pools.toString(),
                String.format(Locale.ROOT, """
                    at 2s flood red by %d for %ds
                    at 12s kill holder-red
                    at 15s start dispatchers
                    at 18s pause holder-red for 5s
                    at 24s end holder-red
                    at 28s start dispatchers
                    at 30s loss 20%% for 5s
                """, (int) FLOOD_FACTOR, seconds - 6));
        // Provisioning of endpoints: the provider holds back requests until those of a newer lease holder are done,
        // and a cap is soon reached.
        Scenario provisioning = scenario(
                dispatchers, endpoints, 30, load, pools.toString().replace("cap 2000 most 4", "cap 10 most 6"), """
                    at 100ms provider keeps for 16s
                    at 500ms flood red by 20 for 28s
                    at 10s kill holder-red
                    at 14s kill holder-red
                    at 17s provider loses for 4s
                """);
        Path folder = Files.createTempDirectory("measure-duties");
        Map<String, Double> figures = new LinkedHashMap<>(play(withPools, folder.resolve("ours")));
        Map<String, Double> provisioningFigures = play(provisioning, folder.resolve("acts"));
        Map<String, Double> withoutPools = play(withPools.without(true, null), folder.resolve("today"));
        Map<String, Double> withoutFlood = play(withPools.without(true, "red"), folder.resolve("alone"));
        figures.keySet().removeIf(name -> name.matches("(asked|in_time|late|unserved|failed)_m\\d+"));
        for (String name : List.of(
                "acts",
                "stale_acts_tried",
                "stale_acts_accepted",
                "cap_overrun_cents",
                "adds_after_near",
                "adds_unspent_refused",
                "provider_added",
                "near_caps")) {
            figures.put(name, provisioningFigures.get(name));
        }
        for (String name : List.of("two_holders", "moved_jobs_lost", "rules_broken", "crashed")) {
            figures.merge(name, provisioningFigures.get(name), Double::sum);
        }
        figures.put("unheld_share_20_percent_loss", SimulatedLeaseTier.unheldShare(100, 5, LOSS_FRACTION, 120_000, 1));
        figures(figures, withoutPools, withoutFlood);
        System.err.println("results are in " + folder);
        figures.forEach((name, value) -> System.out.println(name + "=" + Results.formatNumber(value)));
    }

    private static Scenario scenario(
            int dispatchers, int endpoints, int seconds, CharSequence load, String pools, String steps) {
        return Scenario.parse(
                "measure-duties",
                String.format(
                        Locale.ROOT,
                        """
                world {
                    seed 20261202
                    dispatchers %d
                    runners %d
                    zone a
                    zone b
                    slots 2
                    queue 6
                }
                load {
                    rate %.1f
                    length %ds
                    warm 15s
                    tries 2
                %s    class step-view 60%% 80ms 300ms
                    class save-run 20%% 120ms 400ms
                    class mark-submit 20%% 130ms 400ms
                }
                links {
                    tcp direct
                }
                duty {
                    voters 5
                    lease 2s
                    comes 2s
                }
                pools {
                %sreserve 50%%
                    stay 8s
                    clear 1s
                    come 1s
                    price std 100 least 1m
                    reach 10s
                }
                steps {
                %s}
                """,
                        dispatchers,
                        endpoints,
                        endpoints * SLOTS / MEAN_WORK_SECONDS * UTILIZATION,
                        seconds,
                        load,
                        pools,
                        steps));
    }

    private static void figures(Map<String, Double> all, Map<String, Double> today, Map<String, Double> alone) {
        all.put("noisy_found_s", all.remove("found_s_red"));
        all.put("noisy_in_time", all.get("in_time_red") / all.get("asked_red"));
        all.put("noisy_in_time_today", today.get("in_time_red") / today.get("asked_red"));
        all.put("victims_in_time", victimsInTime(all));
        all.put("victims_in_time_today", victimsInTime(today));
        all.put("victims_in_time_alone", victimsInTime(alone));
        // An hour of two-second windows for each of three seeds.
        int moves = 0;
        for (int seed = 0; seed < 3; seed++) {
            moves += SimulatedDispatchers.countFalseDetections(100, 1800, seed);
        }
        all.put("bytes_per_s_a_dispatcher_100", SimulatedLeaseTier.bytesPerSecond(100, 30, 20_000));
        all.put("bytes_per_s_a_dispatcher_1000", SimulatedLeaseTier.bytesPerSecond(1000, 300, 20_000));
        all.put("false_moves", (double) moves);
        all.put("cores_duties_100", all.get("cores") - today.get("cores"));
    }

    private static int arg(String[] args, int at, int otherwise) {
        return args.length > at ? Integer.parseInt(args[at]) : otherwise;
    }

    private static double victimsInTime(Map<String, Double> figures) {
        return (figures.get("in_time") - figures.get("in_time_red")) / (figures.get("jobs") - figures.get("asked_red"));
    }

    private static Map<String, Double> play(Scenario scenario, Path folder) throws Exception {
        Map<String, Double> figures = new LinkedHashMap<>();
        FleetTest.run(scenario, folder, line -> System.err.print("\r" + line + "\u001b[K"), line -> {
            int at = line.indexOf('=');
            if (at > 0 && !line.contains(" ")) {
                String value = line.substring(at + 1);
                figures.put(line.substring(0, at), value.isEmpty() ? Double.NaN : Double.valueOf(value));
            } else {
                System.err.println(line);
            }
        });
        System.err.println();
        return figures;
    }
}
