package nettlewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettlewick.fleettest.Lab;
import nettlewick.fleettest.Soak;
import nettlewick.settings.InvalidSettingsException;

/** Runs scenarios with faults against a fleet of real dispatcher processes, or compares the results of two runs. */
@Parameters(
        commandDescription = "check FILE, run FILE (a fleet of real processes with"
                + " faults between them), compare FOLDER FOLDER, or soak (rolling restarts drawn from seeds)")
final class FleetTestCommand implements Command {
    @Parameter(description = "check FILE | run FILE | compare FOLDER FOLDER | soak", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--out", description = "Folder for what a run leaves")
    private String outputFolder = "lab-run";

    @Parameter(names = "--from", description = "The first seed of a soak")
    private long firstSeed = 1;

    @Parameter(names = "--seeds", description = "How many seeds a soak plays")
    private int seedCount = 1;

    /** The number of arguments of each action, including its name. */
    private static final Map<String, Integer> ARGUMENT_COUNTS = Map.of("check", 2, "run", 2, "compare", 3, "soak", 1);

    private static final String ERASE_TO_END_OF_LINE = "\u001b[K";

    @Override
    public int run() {
        String action = arguments.get(0);
        boolean isComparison = action.equals("compare");
        Integer argumentCount = ARGUMENT_COUNTS.get(action);
        if (argumentCount == null || arguments.size() != argumentCount) {
            throw new CommandException(
                    Main.EXIT_USAGE_ERROR,
                    "fleet-test: expected check FILE, run FILE, compare FOLDER FOLDER or soak, got "
                            + String.join(" ", arguments));
        }
        try {
            if (action.equals("soak")) {
                return Soak.run(firstSeed, seedCount, Path.of(outputFolder), System.out::println)
                                .isEmpty()
                        ? 0
                        : Main.EXIT_FAILURE;
            }
            Path first = Path.of(arguments.get(1));
            if (isComparison) {
                Lab.compare(first, Path.of(arguments.get(2)), System.out);
                return 0;
            }
            if (action.equals("check")) {
                System.out.println(Lab.check(first));
                return 0;
            }
            return Lab.run(first, Path.of(outputFolder), this::printProgress, this::printFigure)
                    ? 0
                    : Main.EXIT_FAILURE;
        } catch (InvalidSettingsException | InvalidPathException e) {
            throw new CommandException(Main.EXIT_USAGE_ERROR, e.getMessage());
        } catch (IOException e) {
            throw new CommandException(Main.EXIT_FAILURE, "fleet-test: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Main.EXIT_FAILURE;
        } catch (Exception e) {
            throw new CommandException(Main.EXIT_FAILURE, "fleet-test: " + e);
        }
    }

    private void printProgress(String line) {
        System.err.print("\r" + line + ERASE_TO_END_OF_LINE);
    }

    private void printFigure(String line) {
        System.err.print("\r" + ERASE_TO_END_OF_LINE);
        System.out.println(line);
    }
}
