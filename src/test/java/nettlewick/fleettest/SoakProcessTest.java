package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three seeds of the soak: one with endpoints that hang through the whole shutdown, one with idle connections, and
 * one with neither.
 */
@Tag("fleet")
@Timeout(90)
class SoakProcessTest {
    @TempDir
    private Path dir;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rollingRestartsViolateNoRule(long seed) throws Exception {
        List<String> lines = new ArrayList<>();
        assertEquals(List.of(), Soak.run(seed, 1, dir, lines::add), () -> String.join("\n", lines));
    }
}
