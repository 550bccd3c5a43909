package nettlewick;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** How tests are matched with entries of the list. */
class KnownRedExtensionTest {
    private static final String LIST = "# heading\nFooTest.failsUnderLoad | seen once | issue 1\n";

    @Test
    void onlyTheFullNameMatchesAnEntry() {
        assertEquals(
                Optional.of("FooTest.failsUnderLoad | seen once | issue 1"),
                KnownRedExtension.findEntry("FooTest.failsUnderLoad", LIST));
        assertEquals(Optional.empty(), KnownRedExtension.findEntry("FooTest.fails", LIST));
        assertEquals(Optional.empty(), KnownRedExtension.findEntry("FooTest.failsUnderLoadToo", LIST));
        assertEquals(Optional.empty(), KnownRedExtension.findEntry("OtherFooTest.failsUnderLoad", LIST));
    }
}
