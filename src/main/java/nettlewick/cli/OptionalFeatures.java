package nettlewick.cli;

import java.io.IOException;
import java.util.List;
import nettlewick.core.Clock;
import nettlewick.core.RequestListener;
import nettlewick.core.UsageRecorder;
import nettlewick.net.client.Frontend;
import nettlewick.net.config.PlatformConfig;

/** What a settings file adds to a dispatcher. Without one, none of the classes behind it is loaded. */
interface OptionalFeatures {
    /** Adds nothing. */
    OptionalFeatures NONE = new OptionalFeatures() {};

    /**
     * Starts what must run before the first request.
     *
     * @throws CommandException if the settings contradict the platform's configuration
     */
    default void start(PlatformConfig config, Clock clock) throws IOException {}

    /** Appends further frontends. */
    default void addFrontends(List<Frontend.Factory> frontends) {}

    /** Records the usage of every request. */
    default UsageRecorder usageRecorder() {
        return UsageRecorder.NONE;
    }

    /** Is notified of requests and attempts. */
    default RequestListener requestListener() {
        return RequestListener.NONE;
    }

    /**
     * Reads the file again without applying it.
     *
     * @return the step that applies it
     * @throws nettlewick.settings.InvalidSettingsException if it is invalid; the current settings stay in force
     */
    default Runnable prepareReload() {
        return () -> {};
    }

    /** Stops everything, after the last answer. */
    default void close() {}
}
