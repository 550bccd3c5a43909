package nettlewick.admin;

import nettlewick.core.Figures;

/** What operators can ask of a dispatcher. Called on the operators' event loop; nothing here blocks. */
public interface Operations {
    /** Whether this process takes clients. */
    boolean ready();

    /** The figures now. */
    Figures.Snapshot figures();

    /** Sends clients away; false if this process ends anyway. */
    boolean drain();

    /** Takes clients again; false if this process ends. */
    boolean resume();
}
