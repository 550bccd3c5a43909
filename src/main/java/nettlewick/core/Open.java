package nettlewick.core;

import java.util.ArrayList;
import java.util.List;

/** A request until its final answer and its last outcome. */
final class Open {
    final Request request;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Its end is decided. Written by the core's thread alone; the event loop reads it before each send. */
    volatile boolean answered;

    Open(Request request) {
        this.request = request;
    }

    boolean out() {
        return attempts.stream().anyMatch(a -> !a.over());
    }
}
