package nettlewick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Files stay short, and nothing in the program is fitted to one site. */
class LayoutTest {
    private static final Path MAIN = Path.of("src/main/java/nettlewick");

    /** The files over {@link #MOST} lines that are not split yet. This list may only grow shorter. */
    private static final Set<String> LONG = Set.of(
            "ledger/Store.java",
            "ledger/Ledger.java",
            "ledger/Spool.java",
            "waiting/Plan.java",
            "ledger/StatementCalculator.java",
            "fleettest/ScenarioRun.java");

    private static final int MOST = 400;

    @Test
    void filesAreShort() throws IOException {
        Set<String> over = new TreeSet<>();
        try (Stream<Path> files = Files.walk(MAIN)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                if (Files.readAllLines(file).size() > MOST) {
                    over.add(MAIN.relativize(file).toString());
                }
            }
        }
        assertEquals(new TreeSet<>(LONG), over, "a file that has been split leaves the list, none joins it");
    }

    /** Names that belong to a site stand in its settings alone: nothing is fitted to one deployment. */
    @Test
    void noNameOfASiteStandsInTheProgram() throws IOException {
        Set<String> names = new TreeSet<>();
        try (Stream<Path> sites = Files.walk(Path.of("deploy/sites"))) {
            for (Path site : sites.filter(f -> f.toString().endsWith(".toml")).toList()) {
                String text = Files.readString(site).replaceAll("(?s)\\[\\[trouble]]\\s*name = \"[^\"]*\"", "");
                Matcher name =
                        Pattern.compile("(?m)^(?:name = |zones = \\[)(.*?)]?$").matcher(text);
                while (name.find()) {
                    names.addAll(List.of(name.group(1).replace("\"", "").split(", *")));
                }
            }
        }
        assertTrue(names.size() > 20, names.toString());
        List<Path> program =
                new ArrayList<>(List.of(Path.of("deploy/balancer.toml"), Path.of("deploy/nettlewick.conf")));
        try (Stream<Path> files = Files.walk(MAIN)) {
            files.filter(Files::isRegularFile).forEach(program::add);
        }
        for (Path file : program) {
            String text = Files.readString(file);
            for (String name : names) {
                assertTrue(!text.contains(name), file + " names " + name);
            }
        }
    }
}
