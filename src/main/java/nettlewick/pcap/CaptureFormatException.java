package nettlewick.pcap;

import java.io.IOException;

/** Thrown if a capture file is not supported or damaged. The message is a single line. */
public final class CaptureFormatException extends IOException {
    private static final long serialVersionUID = 1;

    CaptureFormatException(String message) {
        super(message.replaceAll("[\\r\\n]+", " "));
    }
}
