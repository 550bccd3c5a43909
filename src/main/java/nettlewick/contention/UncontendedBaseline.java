package nettlewick.contention;

import java.nio.ByteBuffer;

/**
 * What a dispatcher saw in windows in which a member kept to its share there: what others' jobs were like
 * without it. Older windows count less. Pure.
 *
 * @param others attempts of all but this member
 * @param harmed those of them that were harmed
 * @param ran    how long others' jobs ran, in milliseconds
 * @param hinted what their hints said
 */
public record UncontendedBaseline(double others, double harmed, double ran, double hinted) {
    static final UncontendedBaseline NONE = new UncontendedBaseline(0, 0, 0, 0);
    static final int BYTES = 4 * Double.BYTES;
    private static final double FADES = 0.97;

    /** With one more window, if the member kept to its share in it. */
    UncontendedBaseline after(UsageReport news, int tenant, double share) {
        if (news.total() <= 0 || ContentionEvidence.over(news, tenant, share)) {
            return this;
        }
        UsageReport.At all = news.everywhere();
        return new UncontendedBaseline(
                others * FADES + all.others(),
                harmed * FADES + all.harmed(),
                ran * FADES + news.ran(),
                hinted * FADES + news.hinted());
    }

    UncontendedBaseline plus(UncontendedBaseline o) {
        return new UncontendedBaseline(others + o.others, harmed + o.harmed, ran + o.ran, hinted + o.hinted);
    }

    boolean good() {
        return others >= harmed && harmed >= 0 && ran >= 0 && hinted >= 0 && Double.isFinite(others + ran + hinted);
    }

    void put(ByteBuffer to) {
        to.putDouble(others).putDouble(harmed).putDouble(ran).putDouble(hinted);
    }

    static UncontendedBaseline get(ByteBuffer from) {
        return new UncontendedBaseline(from.getDouble(), from.getDouble(), from.getDouble(), from.getDouble());
    }
}
