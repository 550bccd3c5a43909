package nettlewick.fleettest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Runs soak tests of rolling restarts, one per seed, and reports a verdict for each. */
public final class Soak {
    private static final int MAX_VIOLATIONS_SHOWN = 12;

    private Soak() {}

    /**
     * Runs one soak for each seed.
     *
     * @param from the first seed
     * @param folder receives a folder with the logs of all processes for each seed that violated a rule
     * @param out receives the drawn plan, the verdict, and the violations
     * @return the seeds that violated a rule
     */
    public static List<Long> run(long from, int seeds, Path folder, Consumer<String> out) throws Exception {
        List<Long> violatingSeeds = new ArrayList<>();
        for (long seed = from; seed < from + seeds; seed++) {
            if (!run(seed, Files.createDirectories(folder.resolve("seed-" + seed)), out)) {
                violatingSeeds.add(seed);
            }
        }
        out.accept(seeds + " seeds from " + from + ", seeds with violations: " + violatingSeeds);
        return violatingSeeds;
    }

    private static boolean run(long seed, Path folder, Consumer<String> out) throws Exception {
        SoakPlan plan = SoakPlan.draw(seed);
        out.accept("seed " + seed + "\n" + plan.describe());
        try (SoakRun run = new SoakRun(plan, folder)) {
            SoakRun.Verdict verdict = run.run();
            out.accept("seed " + seed + ": " + verdict.text());
            verdict.violations().stream()
                    .limit(MAX_VIOLATIONS_SHOWN)
                    .forEach(violation -> out.accept("  " + violation));
            if (verdict.violations().isEmpty()) {
                deleteQuietly(folder);
            }
            return verdict.violations().isEmpty();
        }
    }

    private static void deleteQuietly(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | UncheckedIOException e) {
            // Processes that are still ending write to the folder; the next seed has its own.
        }
    }
}
