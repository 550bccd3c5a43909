package nettlewick.pcap;

import java.io.IOException;

/** A capture file that is truncated or odd; the message is one plain line. */
public final class CaptureFormatException extends IOException {
    private static final long serialVersionUID = 1;

    CaptureFormatException(String message) {
        super(message.replaceAll("[\\r\\n]+", " "));
    }
}
