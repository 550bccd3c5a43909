package nettlewick.contention;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import nettlewick.contention.UsageReport.EndpointUsage;

/**
 * Encodes and decodes usage reports, big-endian: format version, unsolicited flag, age in windows, baseline, totals,
 * work by tenant, usage by endpoint. Dispatchers of other builds read this format. Stateless.
 */
final class UsageReportCodec {
    private static final byte FORMAT_VERSION = 3;
    private static final int AGE_OFFSET = 2;
    private static final int HEADER_BYTES = 3;
    private static final int BASELINE_BYTES = 4 * Double.BYTES;
    private static final int TOTALS_BYTES = 3 * Long.BYTES;
    private static final int TENANT_BYTES = Integer.BYTES + Long.BYTES;
    private static final int ENDPOINT_BYTES = Integer.BYTES + 4 * Long.BYTES;

    private UsageReportCodec() {}

    /** Encodes a report that describes the current window. */
    static byte[] encode(UsageReport report) {
        Map<Integer, Long> work = report.workByTenant();
        Map<Integer, EndpointUsage> endpoints = report.endpoints();
        int counts = 2 * Short.BYTES + work.size() * TENANT_BYTES + endpoints.size() * ENDPOINT_BYTES;
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + BASELINE_BYTES + TOTALS_BYTES + counts);
        buffer.put(FORMAT_VERSION).put((byte) (report.unsolicited() ? 1 : 0)).put((byte) 0);
        writeBaseline(report.baseline(), buffer);
        buffer.putLong(report.totalWork()).putLong(report.runMillis()).putLong(report.hintedMillis());
        buffer.putShort((short) work.size());
        work.forEach((tenant, amount) -> buffer.putInt(tenant).putLong(amount));
        buffer.putShort((short) endpoints.size());
        endpoints.forEach((endpoint, usage) -> buffer.putInt(endpoint)
                .putLong(usage.tenantWork())
                .putLong(usage.totalWork())
                .putLong(usage.otherAttempts())
                .putLong(usage.harmedAttempts()));
        return buffer.array();
    }

    /** Returns a copy of an encoded report that is marked as describing a window this many windows ago. */
    static byte[] withAge(byte[] encoded, int windows) {
        byte[] aged = encoded.clone();
        aged[AGE_OFFSET] = (byte) windows;
        return aged;
    }

    /** How many windows ago the report was current. The data must be accepted by {@link #decode}. */
    static int ageWindows(byte[] encoded) {
        return encoded[AGE_OFFSET];
    }

    /** Decodes a report; null if the format is unknown, the data is truncated, or the counts are inconsistent. */
    static UsageReport decode(byte[] data) {
        try {
            ByteBuffer buffer = ByteBuffer.wrap(data);
            if (buffer.get() != FORMAT_VERSION) {
                return null;
            }
            boolean unsolicited = buffer.get() == 1;
            // Skips the age, which is read by ageWindows.
            buffer.get();
            UncontendedBaseline baseline = readBaseline(buffer);
            long totalWork = buffer.getLong();
            long runMillis = buffer.getLong();
            long hintedMillis = buffer.getLong();
            require(baseline.isValid(), "baseline");
            require(totalWork >= 0 && runMillis >= 0 && hintedMillis >= 0, "totals");
            return new UsageReport(
                    totalWork, readWork(buffer), runMillis, hintedMillis, readEndpoints(buffer), baseline, unsolicited);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static void writeBaseline(UncontendedBaseline baseline, ByteBuffer buffer) {
        buffer.putDouble(baseline.otherAttempts())
                .putDouble(baseline.harmedAttempts())
                .putDouble(baseline.runMillis())
                .putDouble(baseline.hintedMillis());
    }

    private static UncontendedBaseline readBaseline(ByteBuffer buffer) {
        return new UncontendedBaseline(buffer.getDouble(), buffer.getDouble(), buffer.getDouble(), buffer.getDouble());
    }

    private static Map<Integer, Long> readWork(ByteBuffer buffer) {
        Map<Integer, Long> work = new LinkedHashMap<>();
        for (int n = buffer.getShort(); n > 0; n--) {
            int tenant = buffer.getInt();
            long amount = buffer.getLong();
            require(amount >= 0, "work of a tenant");
            work.put(tenant, amount);
        }
        return work;
    }

    private static Map<Integer, EndpointUsage> readEndpoints(ByteBuffer buffer) {
        Map<Integer, EndpointUsage> endpoints = new LinkedHashMap<>();
        for (int n = buffer.getShort(); n > 0; n--) {
            int endpoint = buffer.getInt();
            EndpointUsage usage =
                    new EndpointUsage(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
            require(isValid(usage), "usage of an endpoint");
            endpoints.put(endpoint, usage);
        }
        return endpoints;
    }

    private static boolean isValid(EndpointUsage usage) {
        return usage.tenantWork() >= 0
                && usage.totalWork() >= usage.tenantWork()
                && usage.harmedAttempts() >= 0
                && usage.otherAttempts() >= usage.harmedAttempts();
    }

    private static void require(boolean valid, String what) {
        if (!valid) {
            throw new IllegalArgumentException("inconsistent counts: " + what);
        }
    }
}
