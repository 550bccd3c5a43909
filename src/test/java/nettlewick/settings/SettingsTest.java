package nettlewick.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing and validation of settings, and the one-line errors. */
class SettingsTest {
    private static String parseError(String text) {
        String line = assertThrows(InvalidSettingsException.class, () -> Settings.parse("f", text))
                .getMessage();
        assertFalse(line.contains("\n"), line);
        return line;
    }

    @Test
    void valuesAreReadWithUnitsQuotesAndDefaults() {
        Settings s = Settings.parse("f", """
                # a comment
                ledger {
                    store "/a b/\\"c\\"#"   # a comment after a quoted word
                    mode sync
                    queue 64
                    term t1 from 2026-01-01 to 2026-02-01
                    term t2 from 2026-02-01 to 2026-03-01
                    export x {
                        folder /x
                    }
                }
                """);
        Block ledger = s.block("ledger").get();
        assertEquals(Path.of("/a b/\"c\"#"), ledger.get("store"));
        assertEquals(List.of("sync"), ledger.first("mode").get().arguments());
        assertEquals(15_000, ledger.durationMillis("key-window"));
        assertEquals(2, ledger.all("term").size());
        assertEquals("x", ledger.blocks("export").get(0).label());
        assertEquals(
                List.of(500.0, 30_000.0),
                ledger.blocks("export").get(0).first("retry").get().arguments());
        assertTrue(s.block("edge").isEmpty());
    }

    /** Each error is a single line that names file, line, keyword and value. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            value = {
                "ledgr {\\n}~ f:1: ledgr is not a keyword of the settings; the nearest is ledger",
                "edge {\\nlisten 1.2.3.4:80\\nretri 4s\\n}~ f:3: retri (4s) is not a keyword of edge; the nearest is "
                        + "retry",
                "edge {\\nlisten localhost:80\\n}~ f:2: listen is localhost:80, but has to be an IP address and a "
                        + "port",
                "edge {\\nlisten 1.2.3.4:80\\nretry 4\\n}~ f:3: retry is 4, but has to be a duration with its unit "
                        + "(ms, s, m, h, d) from 1ms to 1h",
                "edge {\\nlisten 1.2.3.4:80\\nlisten 1.2.3.4:81\\n}~ f:3: listen is 1.2.3.4:81, but has to be set "
                        + "only "
                        + "once; it is already set at f:2",
                "edge {\\n}~ f:1: edge lacks the required listen ADDRESS",
                "edge {\\nlisten 1.2.3.4:80~ f:2: unclosed block at the end of the file: } is missing",
                "log {\\nlevel loud\\n}~ f:2: level is loud, but has to be one of error, warning, info, debug, off",
                "log {\\nlevel\\n}~ f:2: level is empty, but has to be written as: level "
                        + "error|warning|info|debug|off",
                "log {\\nform \"text\\n}~ f:2: the opening quote before text is not closed",
                "log {\\n}\\nlog {\\n}~ f:3: log is a second block, but has to be unique; the first one is at " + "f:1",
                "log\\n~ f:1: log is empty, but has to be a block, which opens with {",
                "}~ f:1: unmatched } in this file",
                "ledger {\\nstore /x\\nmode batch 20\\n}~ f:3: mode is batch 20, but has to be written as: "
                        + "mode sync or mode batch SPAN",
                "ledger {\\nstore /x\\npeers {\\nlisten 1.2.3.4:1\\nkey k\\nadmit 10.0.0.0/33\\n}\\n}~ f:6: admit is "
                        + "10.0.0.0/33, but has to be an IP network such as 127.0.0.0/8"
            })
    void eachErrorIsOneLineWithItsLocation(String text, String line) {
        assertEquals(line, parseError(text.replace("\\n", "\n")));
    }

    @Test
    void includesAreResolvedBesideTheirFileAndLoopsAreErrors(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("a"), "include sub/b\nedge {\ninclude sub/c\n}\n");
        Files.createDirectory(dir.resolve("sub"));
        Files.writeString(dir.resolve("sub/b"), "log {\nlevel error\n}\n");
        Files.writeString(dir.resolve("sub/c"), "listen 127.0.0.1:1\n");
        assertEquals(
                1, Settings.read(file).block("edge").get().address("listen").getPort());
        Files.writeString(dir.resolve("sub/b"), "\ninclude ../a\n");
        String line = assertThrows(InvalidSettingsException.class, () -> Settings.read(file))
                .getMessage();
        assertTrue(line.contains("b:2: include is ") && line.contains("loop"), line);
        Files.delete(dir.resolve("sub/b"));
        line = assertThrows(InvalidSettingsException.class, () -> Settings.read(file))
                .getMessage();
        assertTrue(line.contains("a:1: ") && line.contains("cannot be read"), line);
    }

    @Test
    void effectiveSettingsAreShownWithTheirOriginAndParseBack() {
        Settings s = Settings.parse("f", "edge {\nlisten 1.2.3.4:80\nretry 4s\n}");
        String shown = s.describe();
        assertTrue(shown.matches("(?s).*retry 4s +# f:3\n.*grace 3s +# default\n.*"), shown);
        assertEquals(List.of(), s.keywordsRequiringRestart(Settings.parse("g", shown)));
        assertEquals(
                List.of("edge.retry"), s.keywordsRequiringRestart(Settings.parse("f", "edge {\nlisten 1.2.3.4:80\n}")));
        assertEquals(List.of("edge"), s.keywordsRequiringRestart(Settings.defaults()));
    }

    @Test
    void referencePageMatchesTheSchema() throws Exception {
        assertEquals(
                SettingsReference.toMarkdown(),
                Files.readString(Path.of("docs/settings.md")),
                "run: java -jar target/nettlewick.jar settings reference > docs/settings.md");
    }

    @Test
    void deployedSettingsFileIsValid() {
        assertTrue(
                Settings.read(Path.of("deploy/nettlewick.conf")).block("ledger").isPresent());
    }

    /** Arbitrary input gives either settings or a one-line error. */
    @Property(tries = 2000, seed = "43")
    void anyTextGivesSettingsOrAOneLineError(@ForAll @StringLength(max = 80) String text) {
        String shaped = text.replaceAll("[^ -~]", "\n").replace("q", "log {\n").replace("z", "\n}\n");
        try {
            Settings.parse("f", shaped);
        } catch (InvalidSettingsException e) {
            assertFalse(e.getMessage().contains("\n"));
            assertTrue(e.getMessage().startsWith("f:") || e.getMessage().contains("include"), e.getMessage());
        }
    }
}
