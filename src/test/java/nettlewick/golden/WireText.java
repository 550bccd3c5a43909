package nettlewick.golden;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Formats bytes of a connection as printable text, and exchanges requests for complete responses. */
public final class WireText {
    private static final int READ_TIMEOUT_MILLIS = 15_000;
    private static final Pattern CONTENT_LENGTH = Pattern.compile("\r\ncontent-length: *(\\d+)");

    private WireText() {}

    /** Escapes control and non-ASCII characters; a line feed is escaped and followed by a line break. */
    public static String escape(String bytes) {
        StringBuilder text = new StringBuilder();
        for (char c : bytes.toCharArray()) {
            switch (c) {
                case '\r' -> text.append("\\r");
                case '\n' -> text.append("\\n\n");
                case '\\' -> text.append("\\\\");
                default -> text.append(c >= ' ' && c < 0x7f ? String.valueOf(c) : String.format("\\x%02x", (int) c));
            }
        }
        return text.append(text.length() > 0 && text.charAt(text.length() - 1) != '\n' ? "\n" : "")
                .toString();
    }

    /** Replaces loopback ports and durations, which differ between runs, by placeholders. */
    public static String normalize(String bytes) {
        return bytes.replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:PORT")
                .replaceAll("(?i)(x-deadline: )\\d+\\.\\d{3}\r", "$1#.###\r")
                .replaceAll("(?i)(retry-after: )\\d+\\.\\d{3}\r", "$1#.###\r")
                .replaceAll("(\"retry_after\":)\\d+\\.\\d+", "$1#.#");
    }

    /** Sends bytes on a new connection and reads one response; appends {@code [end]} if the connection was closed. */
    public static String exchange(int port, String bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            StringBuilder response = new StringBuilder();
            while (response.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    return response + "[end]";
                }
                response.append((char) b);
            }
            String head = response.toString().toLowerCase(Locale.ROOT);
            Matcher length = CONTENT_LENGTH.matcher(head);
            if (length.find() && !bytes.startsWith("HEAD ")) {
                response.append(
                        new String(in.readNBytes(Integer.parseInt(length.group(1))), StandardCharsets.ISO_8859_1));
            }
            while (head.contains("transfer-encoding: chunked")
                    && !response.toString().endsWith("\r\n0\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    return response + "[cut off]";
                }
                response.append((char) b);
            }
            if (head.contains("connection: close")) {
                response.append(new String(in.readAllBytes(), StandardCharsets.ISO_8859_1))
                        .append("[end]");
            }
            return response.toString();
        }
    }

    /** Formats a message under a title, for a recorded file. */
    public static String entry(String title, String bytes) {
        return "== " + title + "\n" + escape(normalize(bytes));
    }
}
