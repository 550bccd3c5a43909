package nettlewick.fleettest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Entry points of the fleet test for the command line. */
public final class FleetTest {
    private static final double IDLE_MILLIS = 3000;

    private FleetTest() {}

    /**
     * Checks a scenario file.
     *
     * @throws nettlewick.settings.InvalidSettingsException with one line for the first fault
     */
    public static String check(Path file) {
        Scenario scenario = Scenario.read(file);
        return file + " is valid: " + scenario.fleet().dispatchers() + " dispatchers, "
                + scenario.fleet().endpoints() + " endpoints, "
                + scenario.steps().size() + " steps";
    }

    /**
     * Runs a scenario and writes its result folder.
     *
     * @param progress receives a line of progress now and then
     * @param out receives the figures, {@code name=value}, and the violations
     * @return whether no rule was violated and no process crashed
     * @throws nettlewick.settings.InvalidSettingsException if the scenario is invalid
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
                progress.accept(
                        "the load generator was late: the figures are limited by this machine, not by the fleet");
            }
            return violations.isEmpty() && figures.get("crashed") == 0;
        }
    }

    /**
     * Writes the figures of two runs side by side.
     *
     * @throws IOException if one of the folders does not contain a run
     */
    public static void compare(Path a, Path b, Appendable out) throws IOException {
        for (Path folder : List.of(a, b)) {
            if (!Results.containsRun(folder)) {
                throw new IOException(folder + " contains no results of a run");
            }
        }
        Results.compare(a, b, out);
    }
}
