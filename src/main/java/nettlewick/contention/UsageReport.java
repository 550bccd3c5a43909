package nettlewick.contention;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one dispatcher has seen of one member and of all others since its life began. All figures only grow,
 * so
 * that words may be lost, doubled or out of order: the newest of each is the largest.
 *
 * @param total    work asked for by all, in slot milliseconds by hints
 * @param asked    the same by member, by the mark of its name; the largest few
 * @param ran      how long attempts of all but this member ran, in milliseconds, where a hint came with them
 * @param hinted   what their hints said
 * @param at       by the mark of a sim runner's name
 * @param quiet    what others' jobs are like here without it; the newest word's counts
 * @param alarmed  whether the sender speaks of its own accord
 */
public record UsageReport(
        long total,
        Map<Integer, Long> asked,
        long ran,
        long hinted,
        Map<Integer, At> at,
        UncontendedBaseline quiet,
        boolean alarmed) {
    /**
     * What was seen at one sim runner.
     *
     * @param own    slot milliseconds in work of this member
     * @param all    of all members
     * @param others attempts of all but this member that ended there
     * @param harmed those of them that were turned away, lost, or begun late
     */
    public record At(long own, long all, long others, long harmed) {
        static final At NONE = new At(0, 0, 0, 0);

        At plus(At o) {
            return new At(own + o.own, all + o.all, others + o.others, harmed + o.harmed);
        }

        At minus(At o) {
            return new At(own - o.own, all - o.all, others - o.others, harmed - o.harmed);
        }

        At most(At o) {
            return new At(
                    Math.max(own, o.own), Math.max(all, o.all), Math.max(others, o.others), Math.max(harmed, o.harmed));
        }
    }

    static final UsageReport NOTHING = new UsageReport(0, Map.of(), 0, 0, Map.of(), UncontendedBaseline.NONE, false);
    private static final byte FORM = 3;
    private static final int AGE_AT = 2;

    byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(
                3 + UncontendedBaseline.BYTES + 3 * Long.BYTES + 2 + asked.size() * 12 + 2 + at.size() * 36);
        b.put(FORM).put((byte) (alarmed ? 1 : 0)).put((byte) 0);
        quiet.put(b);
        b.putLong(total).putLong(ran).putLong(hinted).putShort((short) asked.size());
        asked.forEach((mark, work) -> b.putInt(mark).putLong(work));
        b.putShort((short) at.size());
        at.forEach((mark, a) -> b.putInt(mark)
                .putLong(a.own())
                .putLong(a.all())
                .putLong(a.others())
                .putLong(a.harmed()));
        return b.array();
    }

    /** The same bytes as a word that was true so many windows ago. */
    static byte[] aged(byte[] word, int windows) {
        byte[] old = word.clone();
        old[AGE_AT] = (byte) windows;
        return old;
    }

    /** How many windows ago what {@link #of} can read was true. */
    static int age(byte[] word) {
        return word[AGE_AT];
    }

    /** Null for what no version here has written, or what makes no sense. */
    static UsageReport of(byte[] data) {
        try {
            ByteBuffer b = ByteBuffer.wrap(data);
            if (b.get() != FORM) {
                return null;
            }
            boolean alarmed = b.get() == 1;
            b.get();
            UncontendedBaseline quiet = UncontendedBaseline.get(b);
            long total = b.getLong();
            long ran = b.getLong();
            long hinted = b.getLong();
            Map<Integer, Long> asked = new LinkedHashMap<>();
            boolean good = quiet.good() && total >= 0 && ran >= 0 && hinted >= 0;
            for (int n = b.getShort(); n > 0; n--) {
                int mark = b.getInt();
                long work = b.getLong();
                good &= work >= 0;
                asked.put(mark, work);
            }
            Map<Integer, At> at = new LinkedHashMap<>();
            for (int n = b.getShort(); n > 0; n--) {
                int mark = b.getInt();
                At a = new At(b.getLong(), b.getLong(), b.getLong(), b.getLong());
                good &= a.own() >= 0 && a.all() >= a.own() && a.harmed() >= 0 && a.others() >= a.harmed();
                at.put(mark, a);
            }
            return good ? new UsageReport(total, asked, ran, hinted, at, quiet, alarmed) : null;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private interface Join {
        long of(long mine, long other);
    }

    private UsageReport join(UsageReport o, Join join, java.util.function.BinaryOperator<At> joinAt) {
        Map<Integer, Long> sums = new LinkedHashMap<>(asked);
        o.asked.forEach((mark, work) -> sums.put(mark, join.of(sums.getOrDefault(mark, 0L), work)));
        Map<Integer, At> endpoints = new LinkedHashMap<>(at);
        o.at.forEach((mark, a) -> endpoints.put(mark, joinAt.apply(endpoints.getOrDefault(mark, At.NONE), a)));
        UsageReport newer = o.total >= total ? o : this;
        return new UsageReport(
                join.of(total, o.total),
                sums,
                join.of(ran, o.ran),
                join.of(hinted, o.hinted),
                endpoints,
                newer.quiet,
                newer.alarmed);
    }

    UsageReport most(UsageReport o) {
        return join(o, Math::max, At::most);
    }

    /** What came since that word; of what is not in this one, nothing. */
    UsageReport minus(UsageReport o) {
        UsageReport all = join(o, (a, b) -> a - b, At::minus);
        all.asked.keySet().retainAll(asked.keySet());
        all.at.keySet().retainAll(at.keySet());
        return all;
    }

    UsageReport plus(UsageReport o) {
        return join(o, Long::sum, At::plus);
    }

    UsageReport saying(UncontendedBaseline without, boolean alarm) {
        return new UsageReport(total, asked, ran, hinted, at, without, alarm);
    }

    /** Of all runners together. */
    At everywhere() {
        return at.values().stream().reduce(At.NONE, At::plus);
    }
}
