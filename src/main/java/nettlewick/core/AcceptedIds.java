package nettlewick.core;

/** Knows which requests other processes of this dispatcher have accepted. Called on the core thread. */
public interface AcceptedIds {
    /** For a dispatcher that never has another process. */
    AcceptedIds NONE = id -> true;

    /** Records that this process accepts a request; returns false if another process has accepted one with this id. */
    boolean claim(String id);
}
