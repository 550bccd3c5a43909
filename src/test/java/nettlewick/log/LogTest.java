package nettlewick.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Both line formats, levels by component, and the limit on repeated lines. */
class LogTest {
    private final PrintStream originalStderr = System.err;

    private static void applySettings(String text) {
        LogSetup.apply(Settings.parse("f", "log {\n" + text + "\n}").block("log"));
    }

    private String captureStderr(Runnable action) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out));
        try {
            action.run();
        } finally {
            System.setErr(originalStderr);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    @AfterEach
    void restoreDefaults() {
        LogSetup.apply(Optional.empty());
    }

    @Test
    void textFormatPutsAnErrorOnOneLine() {
        LogSetup.apply(Optional.empty());
        String line = captureStderr(
                () -> ComponentLogger.of("p1").error("odd", "it\nbroke", new IllegalStateException("why\nnot")));
        assertTrue(
                line.matches("\\S+Z SEVERE p1: it broke: java.lang.IllegalStateException: why not at .* < .*\n"), line);
    }

    @Test
    void jsonFormatHoldsComponentEventAndFields() {
        applySettings("form json");
        String line = captureStderr(() ->
                ComponentLogger.of("p2").warning("late", "a \"request\"", "request", "r\n1", "endpoint", null, "n", 4));
        JsonObject parsed = JsonParser.parseString(line).getAsJsonObject();
        assertEquals("p2", parsed.get("part").getAsString());
        assertEquals("late", parsed.get("event").getAsString());
        assertEquals("r\n1", parsed.get("request").getAsString());
        assertEquals(4, parsed.get("n").getAsInt());
        assertEquals("WARNING", parsed.get("level").getAsString());
        assertEquals(1, line.lines().count());
    }

    @Test
    void levelsAreSetByComponentAndReset() {
        applySettings("level warning\npart p3 debug");
        assertTrue(
                captureStderr(() -> ComponentLogger.of("p3").debug("d", "seen")).contains("DEBUG p3: seen"));
        assertEquals("", captureStderr(() -> ComponentLogger.of("p4").info("i", "unseen")));
        LogSetup.apply(Optional.empty());
        assertEquals("", captureStderr(() -> ComponentLogger.of("p3").debug("d", "unseen")));
    }

    @Test
    void repeatsAreSuppressedAndCountedInTheNextLine() {
        RepeatLimiter repeats = new RepeatLimiter(2, 100);
        assertEquals(OptionalInt.of(0), repeats.tryAdmit("a", 0));
        assertEquals(OptionalInt.of(0), repeats.tryAdmit("a", 10));
        assertEquals(OptionalInt.empty(), repeats.tryAdmit("a", 20));
        assertEquals(OptionalInt.of(0), repeats.tryAdmit("b", 20));
        assertEquals(OptionalInt.empty(), repeats.tryAdmit("a", 99));
        assertEquals(OptionalInt.of(2), repeats.tryAdmit("a", 100));
        assertEquals(OptionalInt.of(0), repeats.tryAdmit("a", 101));
        applySettings("repeats 1\nwindow 1h");
        String text = captureStderr(() -> {
            for (int i = 0; i < 50; i++) {
                ComponentLogger.of("p5").info("again", "line " + i);
                ComponentLogger.of("p5").info("other", "x");
            }
        });
        assertEquals(2, text.lines().count(), text);
        assertFalse(text.contains("line 1"));
    }
}
