package nettlewick.net.format;

import io.vertx.core.net.SocketAddress;
import java.util.regex.Pattern;

/** Reads socket addresses, which are an IP address and a port. */
public final class SocketAddressParser {
    // Host names are not accepted: the platform has no DNS, and a lookup would block.
    private static final Pattern IPV4_LITERAL = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}");

    private SocketAddressParser() {}

    /**
     * Parses {@code ip:port}, with IPv6 addresses in brackets.
     *
     * @param field the name of the field in messages
     * @throws JsonFields.InvalidFieldException if it is no address
     */
    public static SocketAddress parse(String field, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port >= 0
                    && port <= 65535
                    && (bracketed || IPV4_LITERAL.matcher(host).matches())) {
                String unbracketed = bracketed ? host.substring(1, host.length() - 1) : host;
                return SocketAddress.inetSocketAddress(port, unbracketed);
            }
        } catch (IllegalArgumentException e) {
            // Reported below.
        }
        throw new JsonFields.InvalidFieldException(field, '"' + text + '"', "an IP address and a port");
    }
}
