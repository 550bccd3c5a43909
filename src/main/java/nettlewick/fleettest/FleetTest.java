package nettlewick.fleettest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** What the command line offers of the lab. */
public final class FleetTest {
    private static final double IDLE_MILLIS = 3000;

    private FleetTest() {}

    /** Checks a scenario file. @throws BadSettings with one line for the first fault */
    public static String check(Path file) {
        Scenario scenario = Scenario.read(file);
        return file + " is in order: " + scenario.fleet().dispatchers() + " dispatchers, "
                + scenario.fleet().endpoints() + " runners, " + scenario.steps().size() + " steps";
    }

    /**
     * Plays a scenario and writes its folder.
     *
     * @param line gets a line of progress now and then
     * @param out  gets the figures, {@code name=value}, and the broken rules
     * @return whether no rule was broken and no process ended by itself
     * @throws BadSettings where the file is not in order
     */
    public static boolean run(Path file, Path folder, Consumer<String> progress, Consumer<String> out)
            throws Exception {
        Scenario scenario = Scenario.read(file);
        Results.writeText(folder, "scenario.conf", Files.readString(file));
        return run(scenario, folder, progress, out);
    }

    static boolean run(Scenario scenario, Path folder, Consumer<String> progress, Consumer<String> out)
            throws Exception {
        try (ScenarioRun scenarioRun = new ScenarioRun(scenario, folder.resolve("processes"))) {
            scenarioRun.startFleet(progress);
            scenarioRun.measureIdle(IDLE_MILLIS);
            Map<String, Double> figures = scenarioRun.run(progress);
            List<String> violations = scenarioRun.checker().violations();
            String chartError = Results.write(
                    folder,
                    figures,
                    violations,
                    scenarioRun.loadStats(),
                    scenarioRun.latency(),
                    scenarioRun.secondSummaries());
            if (chartError != null) {
                progress.accept(chartError);
            }
            violations.forEach(out);
            figures.forEach((name, value) -> out.accept(name + "=" + Results.formatNumber(value)));
            if (figures.get("limited_by_machine") > 0) {
                progress.accept("the lab itself was late: these figures are of this machine, not of the fleet");
            }
            return violations.isEmpty() && figures.get("crashed") == 0;
        }
    }

    /** Writes two runs side by side. @throws IOException where one of them is no folder of a run */
    public static void compare(Path a, Path b, Appendable out) throws IOException {
        for (Path folder : List.of(a, b)) {
            if (!Results.containsRun(folder)) {
                throw new IOException(folder + " holds no run");
            }
        }
        Results.compare(a, b, out);
    }
}
