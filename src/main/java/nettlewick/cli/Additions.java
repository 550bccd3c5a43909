package nettlewick.cli;

import java.io.IOException;
import java.util.List;
import nettlewick.core.Books;
import nettlewick.core.Clock;
import nettlewick.core.Witness;
import nettlewick.net.Config;
import nettlewick.net.Front;

/** What a settings file adds to a dispatcher. Without one, none of its classes is loaded. */
interface Additions {
    /** No file, nothing added. */
    Additions NONE = new Additions() {};

    /** Starts what has to be there before the first job. */
    default void start(Config config, Clock clock) throws IOException {}

    /** Further ways in. */
    default void fronts(List<Front.Maker> fronts) {}

    /** What keeps the books. */
    default Books books() {
        return Books.NONE;
    }

    /** Who is told of jobs and attempts. */
    default Witness witness() {
        return Witness.NONE;
    }

    /** Reads the file again; the step that takes it over comes back, so that all or nothing counts. */
    default Runnable reread() {
        return () -> {};
    }

    /** After the last answer. */
    default void close() {}
}
