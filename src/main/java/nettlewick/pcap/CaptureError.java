package nettlewick.pcap;

import java.io.IOException;

/** A capture file that is truncated or odd; the message is one plain line. */
public final class CaptureError extends IOException {
    private static final long serialVersionUID = 1;

    CaptureError(String message) {
        super(message.replaceAll("[\\r\\n]+", " "));
    }
}
