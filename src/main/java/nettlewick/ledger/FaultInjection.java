package nettlewick.ledger;

import java.io.IOException;

/** Places at which tests let the disk, or the whole process, fail. */
interface FaultInjection {
    /** Nothing fails by itself. */
    FaultInjection NONE = point -> {};

    /** Comes past a place; throws what is to go wrong there. */
    void at(String point) throws IOException;
}
