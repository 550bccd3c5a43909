package nettlewick.pcap;

import java.io.IOException;

/** A capture file cannot be read; the message says why in one line. */
public final class CaptureFormatException extends IOException {
    private static final long serialVersionUID = 1;

    CaptureFormatException(String message) {
        super(message.replaceAll("[\\r\\n]+", " "));
    }
}
