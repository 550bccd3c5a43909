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
        long totalWork,
        Map<Integer, Long> workByTenant,
        long runMillis,
        long hintedMillis,
        Map<Integer, EndpointUsage> endpoints,
        UncontendedBaseline baseline,
        boolean unsolicited) {
    /**
     * What was seen at one sim runner.
     *
     * @param own    slot milliseconds in work of this member
     * @param all    of all members
     * @param others attempts of all but this member that ended there
     * @param harmed those of them that were turned away, lost, or begun late
     */
    public record EndpointUsage(long tenantWork, long totalWork, long otherAttempts, long harmedAttempts) {
        static final EndpointUsage NONE = new EndpointUsage(0, 0, 0, 0);

        EndpointUsage plus(EndpointUsage other) {
            return new EndpointUsage(
                    tenantWork + other.tenantWork,
                    totalWork + other.totalWork,
                    otherAttempts + other.otherAttempts,
                    harmedAttempts + other.harmedAttempts);
        }

        EndpointUsage minus(EndpointUsage other) {
            return new EndpointUsage(
                    tenantWork - other.tenantWork,
                    totalWork - other.totalWork,
                    otherAttempts - other.otherAttempts,
                    harmedAttempts - other.harmedAttempts);
        }

        EndpointUsage maximum(EndpointUsage other) {
            return new EndpointUsage(
                    Math.max(tenantWork, other.tenantWork),
                    Math.max(totalWork, other.totalWork),
                    Math.max(otherAttempts, other.otherAttempts),
                    Math.max(harmedAttempts, other.harmedAttempts));
        }
    }

    static final UsageReport EMPTY = new UsageReport(0, Map.of(), 0, 0, Map.of(), UncontendedBaseline.NONE, false);
    private static final byte FORMAT_VERSION = 3;
    private static final int AGE_OFFSET = 2;

    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(3
                + UncontendedBaseline.ENCODED_BYTES
                + 3 * Long.BYTES
                + 2
                + workByTenant.size() * 12
                + 2
                + endpoints.size() * 36);
        b.put(FORMAT_VERSION).put((byte) (unsolicited ? 1 : 0)).put((byte) 0);
        baseline.writeTo(b);
        b.putLong(totalWork).putLong(runMillis).putLong(hintedMillis).putShort((short) workByTenant.size());
        workByTenant.forEach((nameHash, work) -> b.putInt(nameHash).putLong(work));
        b.putShort((short) endpoints.size());
        endpoints.forEach((nameHash, a) -> b.putInt(nameHash)
                .putLong(a.tenantWork())
                .putLong(a.totalWork())
                .putLong(a.otherAttempts())
                .putLong(a.harmedAttempts()));
        return b.array();
    }

    /** The same bytes as a word that was true so many windows ago. */
    static byte[] withAge(byte[] report, int windows) {
        byte[] old = report.clone();
        old[AGE_OFFSET] = (byte) windows;
        return old;
    }

    /** How many windows ago what {@link #of} can read was true. */
    static int ageWindows(byte[] report) {
        return report[AGE_OFFSET];
    }

    /** Null for what no version here has written, or what makes no sense. */
    static UsageReport decode(byte[] data) {
        try {
            ByteBuffer b = ByteBuffer.wrap(data);
            if (b.get() != FORMAT_VERSION) {
                return null;
            }
            boolean alarmed = b.get() == 1;
            b.get();
            UncontendedBaseline quiet = UncontendedBaseline.readFrom(b);
            long total = b.getLong();
            long ran = b.getLong();
            long hinted = b.getLong();
            Map<Integer, Long> asked = new LinkedHashMap<>();
            boolean good = quiet.isValid() && total >= 0 && ran >= 0 && hinted >= 0;
            for (int n = b.getShort(); n > 0; n--) {
                int nameHash = b.getInt();
                long work = b.getLong();
                good &= work >= 0;
                asked.put(nameHash, work);
            }
            Map<Integer, EndpointUsage> at = new LinkedHashMap<>();
            for (int n = b.getShort(); n > 0; n--) {
                int nameHash = b.getInt();
                EndpointUsage a = new EndpointUsage(b.getLong(), b.getLong(), b.getLong(), b.getLong());
                good &= a.tenantWork() >= 0
                        && a.totalWork() >= a.tenantWork()
                        && a.harmedAttempts() >= 0
                        && a.otherAttempts() >= a.harmedAttempts();
                at.put(nameHash, a);
            }
            return good ? new UsageReport(total, asked, ran, hinted, at, quiet, alarmed) : null;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private interface Join {
        long of(long mine, long other);
    }

    private UsageReport combine(UsageReport other, Join join, java.util.function.BinaryOperator<EndpointUsage> joinAt) {
        Map<Integer, Long> sums = new LinkedHashMap<>(workByTenant);
        other.workByTenant.forEach(
                (nameHash, work) -> sums.put(nameHash, join.of(sums.getOrDefault(nameHash, 0L), work)));
        Map<Integer, EndpointUsage> combined = new LinkedHashMap<>(endpoints);
        other.endpoints.forEach((nameHash, a) ->
                combined.put(nameHash, joinAt.apply(combined.getOrDefault(nameHash, EndpointUsage.NONE), a)));
        UsageReport newer = other.totalWork >= totalWork ? other : this;
        return new UsageReport(
                join.of(totalWork, other.totalWork),
                sums,
                join.of(runMillis, other.runMillis),
                join.of(hintedMillis, other.hintedMillis),
                combined,
                newer.baseline,
                newer.unsolicited);
    }

    UsageReport maximum(UsageReport other) {
        return combine(other, Math::max, EndpointUsage::maximum);
    }

    /** What came since that word; of what is not in this one, nothing. */
    UsageReport minus(UsageReport other) {
        UsageReport all = combine(other, (a, b) -> a - b, EndpointUsage::minus);
        all.workByTenant.keySet().retainAll(workByTenant.keySet());
        all.endpoints.keySet().retainAll(endpoints.keySet());
        return all;
    }

    UsageReport plus(UsageReport other) {
        return combine(other, Long::sum, EndpointUsage::plus);
    }

    UsageReport withBaseline(UncontendedBaseline without, boolean alarm) {
        return new UsageReport(totalWork, workByTenant, runMillis, hintedMillis, endpoints, without, alarm);
    }

    /** Of all runners together. */
    EndpointUsage acrossEndpoints() {
        return endpoints.values().stream().reduce(EndpointUsage.NONE, EndpointUsage::plus);
    }
}
