package nettlewick.ledger;

import java.io.IOException;

/** Points at which tests inject disk failures or the end of the process. */
interface FaultInjection {
    /** Injects no faults. */
    FaultInjection NONE = point -> {};

    /** Called when the code reaches a point; throws the fault to inject there. */
    void at(String point) throws IOException;
}
