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

/** Source files stay within the line limit and contain nothing specific to one site. */
class LayoutTest {
    private static final Path MAIN = Path.of("src/main/java/nettlewick");

    /** Files that still exceed {@link #MAX_LINES} lines. Entries may only be removed. */
    private static final Set<String> OVERLONG_FILES = Set.of(
            "ledger/Store.java",
            "ledger/Ledger.java",
            "ledger/Spool.java",
            "waiting/DependencyTracker.java",
            "ledger/StatementCalculator.java");

    private static final int MAX_LINES = 400;

    @Test
    void sourceFilesStayWithinTheLineLimit() throws IOException {
        Set<String> overLimit = new TreeSet<>();
        try (Stream<Path> files = Files.walk(MAIN)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                if (Files.readAllLines(file).size() > MAX_LINES) {
                    overLimit.add(MAIN.relativize(file).toString());
                }
            }
        }
        assertEquals(new TreeSet<>(OVERLONG_FILES), overLimit, "remove files that were split from the list; add none");
    }

    /** Site names appear only in the settings of that site, so that the program does not depend on one deployment. */
    @Test
    void sourcesAndSharedSettingsContainNoSiteNames() throws IOException {
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
        List<Path> checkedFiles =
                new ArrayList<>(List.of(Path.of("deploy/balancer.toml"), Path.of("deploy/nettlewick.conf")));
        try (Stream<Path> files = Files.walk(MAIN)) {
            files.filter(Files::isRegularFile).forEach(checkedFiles::add);
        }
        for (Path file : checkedFiles) {
            String text = Files.readString(file);
            for (String name : names) {
                assertTrue(!text.contains(name), file + " contains the site name " + name);
            }
        }
    }
}
