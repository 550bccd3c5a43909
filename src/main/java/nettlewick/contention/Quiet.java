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
public record Quiet(double others, double harmed, double ran, double hinted) {
    static final Quiet NONE = new Quiet(0, 0, 0, 0);
    static final int BYTES = 4 * Double.BYTES;
    private static final double FADES = 0.97;

    /** With one more window, if the member kept to its share in it. */
    Quiet after(Word news, int member, double share) {
        if (news.total() <= 0 || Evidence.over(news, member, share)) {
            return this;
        }
        Word.At all = news.everywhere();
        return new Quiet(
                others * FADES + all.others(),
                harmed * FADES + all.harmed(),
                ran * FADES + news.ran(),
                hinted * FADES + news.hinted());
    }

    Quiet plus(Quiet o) {
        return new Quiet(others + o.others, harmed + o.harmed, ran + o.ran, hinted + o.hinted);
    }

    boolean good() {
        return others >= harmed && harmed >= 0 && ran >= 0 && hinted >= 0 && Double.isFinite(others + ran + hinted);
    }

    void put(ByteBuffer to) {
        to.putDouble(others).putDouble(harmed).putDouble(ran).putDouble(hinted);
    }

    static Quiet get(ByteBuffer from) {
        return new Quiet(from.getDouble(), from.getDouble(), from.getDouble(), from.getDouble());
    }
}
