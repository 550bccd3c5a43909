package nettlewick.cli;

import java.io.IOException;
import java.util.List;
import nettlewick.core.Clock;
import nettlewick.core.RequestListener;
import nettlewick.core.UsageRecorder;
import nettlewick.net.Frontend;
import nettlewick.net.PlatformConfig;

/** What a settings file adds to a dispatcher. Without one, none of its classes is loaded. */
interface OptionalFeatures {
    /** No file, nothing added. */
    OptionalFeatures NONE = new OptionalFeatures() {};

    /** Starts what has to be there before the first job. */
    default void start(PlatformConfig config, Clock clock) throws IOException {}

    /** Further ways in. */
    default void addFrontends(List<Frontend.Maker> frontends) {}

    /** What keeps the books. */
    default UsageRecorder usageRecorder() {
        return UsageRecorder.NONE;
    }

    /** Who is told of jobs and attempts. */
    default RequestListener requestListener() {
        return RequestListener.NONE;
    }

    /** Reads the file again; the step that takes it over comes back, so that all or nothing counts. */
    default Runnable prepareReload() {
        return () -> {};
    }

    /** After the last answer. */
    default void close() {}
}
