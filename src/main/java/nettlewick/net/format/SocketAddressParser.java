package nettlewick.net.format;

import io.vertx.core.net.SocketAddress;
import java.util.regex.Pattern;

/** Addresses as the platform writes them: an IP address and a port. */
public final class SocketAddressParser {
    // Danger: a name would ask DNS, which the platform does not have, and hang.
    private static final Pattern IPV4_LITERAL = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}");

    private SocketAddressParser() {}

    /** Reads {@code ip:port}; {@code field} names it in the message. */
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
            // said below
        }
        throw new JsonFields.InvalidFieldException(field, '"' + text + '"', "an IP address and a port");
    }
}
