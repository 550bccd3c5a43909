package nettlewick.fleettest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** What the command line offers of the lab. */
public final class Lab {
    private static final double IDLE = 3000;

    private Lab() {}

    /** Checks a scenario file. @throws BadSettings with one line for the first fault */
    public static String check(Path file) {
        Scenario s = Scenario.read(file);
        return file + " is in order: " + s.world().dispatchers() + " dispatchers, "
                + s.world().runners() + " runners, " + s.steps().size() + " steps";
    }

    /**
     * Plays a scenario and writes its folder.
     *
     * @param line gets a line of progress now and then
     * @param out  gets the figures, {@code name=value}, and the broken rules
     * @return whether no rule was broken and no process ended by itself
     * @throws BadSettings where the file is not in order
     */
    public static boolean run(Path file, Path folder, Consumer<String> line, Consumer<String> out) throws Exception {
        Scenario scenario = Scenario.read(file);
        Results.keep(folder, "scenario.conf", Files.readString(file));
        return run(scenario, folder, line, out);
    }

    static boolean run(Scenario scenario, Path folder, Consumer<String> line, Consumer<String> out) throws Exception {
        try (ScenarioRun play = new ScenarioRun(scenario, folder.resolve("processes"))) {
            play.start(line);
            play.idle(IDLE);
            Map<String, Double> figures = play.run(line);
            List<String> breaks = play.audit().breaks();
            String faults = Results.write(folder, figures, breaks, play.spread(), play.latency(), play.seconds());
            if (faults != null) {
                line.accept(faults);
            }
            breaks.forEach(out);
            figures.forEach((name, value) -> out.accept(name + "=" + Results.plain(value)));
            if (figures.get("limited_by_machine") > 0) {
                line.accept("the lab itself was late: these figures are of this machine, not of the fleet");
            }
            return breaks.isEmpty() && figures.get("crashed") == 0;
        }
    }

    /** Writes two runs side by side. @throws IOException where one of them is no folder of a run */
    public static void compare(Path a, Path b, Appendable out) throws IOException {
        for (Path folder : List.of(a, b)) {
            if (!Results.holds(folder)) {
                throw new IOException(folder + " holds no run");
            }
        }
        Results.compare(a, b, out);
    }
}
