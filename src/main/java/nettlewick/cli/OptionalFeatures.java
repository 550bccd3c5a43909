package nettlewick.cli;

import java.io.IOException;
import java.util.List;
import nettlewick.core.Clock;
import nettlewick.core.RequestListener;
import nettlewick.core.UsageRecorder;
import nettlewick.net.client.Frontend;
import nettlewick.net.config.PlatformConfig;

/** The features that a settings file adds to a dispatcher. Without a settings file, none of their classes is loaded. */
interface OptionalFeatures {
    /** No additional features. */
    OptionalFeatures NONE = new OptionalFeatures() {};

    /**
     * Starts the services that must run before the first request.
     *
     * @throws CommandException if the settings contradict the platform's configuration
     */
    default void start(PlatformConfig config, Clock clock) throws IOException {}

    /** Appends the additional frontends to the list. */
    default void addFrontends(List<Frontend.Factory> frontends) {}

    /** The recorder of the usage of every request. */
    default UsageRecorder usageRecorder() {
        return UsageRecorder.NONE;
    }

    /** The listener that is notified of requests and attempts. */
    default RequestListener requestListener() {
        return RequestListener.NONE;
    }

    /**
     * Reads and checks the settings file again without applying it.
     *
     * @return the action that applies the new settings
     * @throws nettlewick.settings.InvalidSettingsException if the file is invalid; the current settings stay in force
     */
    default Runnable prepareReload() {
        return () -> {};
    }

    /** Stops all services, after the last response was sent. */
    default void close() {}
}
