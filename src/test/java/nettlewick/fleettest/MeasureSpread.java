package nettlewick.fleettest;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures how evenly hundreds of dispatcher processes spread load, with and without lost datagrams, against the same
 * program without gossip and against other selection policies in virtual time. The last lines are name=value.
 */
public final class MeasureSpread {
    private static final int SLOTS = 4;
    /** Mean work of a request in seconds; {@link #UTILIZATION} is the fraction of all slots in use. */
    private static final double MEAN_WORK_SECONDS = 3.5;

    private static final double UTILIZATION = 0.6;

    private MeasureSpread() {}

    /** @param args dispatchers, endpoints, seconds of load; by default 100, 200 and 15 */
    public static void main(String[] args) throws Exception {
        int dispatchers = args.length > 0 ? Integer.parseInt(args[0]) : 100;
        int endpoints = args.length > 1 ? Integer.parseInt(args[1]) : 200;
        int seconds = args.length > 2 ? Integer.parseInt(args[2]) : 15;
        Scenario base = Scenario.parse("measure-spread", """
                world {
                    seed 20261201
                    dispatchers %d
                    runners %d
                    zone a
                    zone b
                    zone c
                    zone d
                    slots 4
                    queue 4
                }
                load {
                    rate %.1f
                    length %ds
                    warm 30s
                    class step-view 40%% 2s 5s
                    class graph-render 30%% 6s 10s
                    class mark-submit 30%% 3s 7s
                }
                links {
                    delay 2ms
                    jitter 3ms
                    tcp direct
                }
                """.formatted(
                        dispatchers, endpoints, endpoints * SLOTS / MEAN_WORK_SECONDS * UTILIZATION, seconds));
        Map<String, Double> figures = new LinkedHashMap<>();
        Path folder = Files.createTempDirectory("measure-spread");
        play(base.with(true, 0), folder.resolve("ours"), "", figures);
        play(base.with(true, 0.2), folder.resolve("loss"), "_loss", figures);
        play(base.with(false, 0), folder.resolve("alone"), "_alone", figures);
        for (Baselines.Policy policy : Baselines.Policy.values()) {
            Baselines.play(base, policy)
                    .forEach((name, value) ->
                            figures.put(name + "_" + policy.name().toLowerCase(java.util.Locale.ROOT), value));
        }
        System.err.println("results are in " + folder);
        figures.forEach((name, value) -> System.out.println(name + "=" + Results.formatNumber(value)));
    }

    private static void play(Scenario scenario, Path folder, String suffix, Map<String, Double> all) throws Exception {
        Map<String, Double> figures = new LinkedHashMap<>();
        FleetTest.run(scenario, folder, line -> System.err.print("\r" + line + "\u001b[K"), line -> {
            int at = line.indexOf('=');
            if (at > 0 && !line.contains(" ")) {
                figures.put(line.substring(0, at), Double.valueOf(line.substring(at + 1)));
            } else {
                System.err.println(line);
            }
        });
        System.err.println();
        for (String name : suffix.isEmpty()
                ? List.copyOf(figures.keySet())
                : List.of(
                        "sent_to_full",
                        "herds",
                        "load_cv",
                        "idle_while_waiting",
                        "rules_broken",
                        "in_time",
                        "refusals",
                        "datagrams_per_s",
                        "datagram_bytes_per_s",
                        "cores",
                        "limited_by_machine")) {
            all.put(name + suffix, figures.get(name));
        }
    }
}
