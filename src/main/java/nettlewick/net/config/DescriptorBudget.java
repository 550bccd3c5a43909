package nettlewick.net.config;

/** Divides the file descriptors of a dispatcher between clients, endpoints and operators. */
public final class DescriptorBudget {
    /** Clients get one descriptor in this many. */
    private static final int CLIENT_DIVISOR = 3;
    /** Descriptors for neither clients nor endpoints: jar files, listeners, the discovery watch, selectors. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** How many connections of operators may be open. */
    public static final int MAX_ADMIN_CONNECTIONS = 24;

    /** Descriptors of the admin frontend: its connections, its listener, its two selectors. */
    private static final int ADMIN_DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 8;

    private DescriptorBudget() {}

    /** How many client connections may be open with this many descriptors. */
    public static int maxClientConnections(int maxSockets) {
        return maxSockets / CLIENT_DIVISOR;
    }

    /** How many connections to endpoints may be open with this many descriptors, without an admin frontend. */
    public static int maxEndpointConnections(int maxSockets) {
        return Math.max(maxSockets / 8, maxSockets - maxClientConnections(maxSockets) - RESERVED_DESCRIPTORS);
    }

    /**
     * How many connections to endpoints this process may open.
     *
     * @param shared whether another process of this dispatcher uses the same descriptors
     */
    public static int maxEndpointConnections(PlatformConfig config, boolean shared) {
        int adminDescriptors = config.adminListen() == null ? 0 : ADMIN_DESCRIPTORS;
        int allowed = maxEndpointConnections(config.maxSockets()) - adminDescriptors;
        // Two processes also have two sets of jar files, listeners and selectors.
        return shared ? Math.max(allowed / 4, (allowed - RESERVED_DESCRIPTORS) / 2) : allowed;
    }
}
