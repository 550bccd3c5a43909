package nettlewick.contention;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.GoldenFile.hex;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.contention.PoolReservation.ReadyEndpoint;
import org.junit.jupiter.api.Test;

/**
 * The encoding of usage reports and the selection of a tenant's endpoints: dispatchers of all builds must agree on
 * both.
 */
class UsageReportGoldenTest {
    @Test
    void aReportHasTheRecordedBytes() {
        Map<Integer, Long> workByTenant = new LinkedHashMap<>();
        workByTenant.put(17, 1_000_000_007L);
        workByTenant.put(-5, 3L);
        Map<Integer, UsageReport.EndpointUsage> endpoints = new LinkedHashMap<>();
        endpoints.put(0x1234_5678, new UsageReport.EndpointUsage(1, 20, 300, 40));
        endpoints.put(-1, new UsageReport.EndpointUsage(0, 7, 0, 0));
        UsageReport report = new UsageReport(
                123_456_789_012L,
                workByTenant,
                77,
                88,
                endpoints,
                new UncontendedBaseline(0.5, 0.25, 12.75, 13.5),
                true);
        byte[] bytes = UsageReportCodec.encode(report);
        assertEquals(report, UsageReportCodec.decode(bytes));
        assertMatches(
                "contention/usage-report.txt",
                hex(bytes) + hex(UsageReportCodec.withAge(bytes, 6)) + hex(UsageReportCodec.encode(UsageReport.EMPTY)));
    }

    @Test
    void aReservationTakesTheRecordedEndpoints() {
        StringBuilder text = new StringBuilder();
        Map<String, ReadyEndpoint> ready = new LinkedHashMap<>();
        for (int i = 0; i < 24; i++) {
            String zone = List.of("north", "south", "east").get(i % 3);
            ready.put(
                    "s" + i, new ReadyEndpoint("s" + i, zone, i % 2 == 0 ? "small" : "large", i == 23 ? "red" : null));
        }
        for (String tenant : List.of("red", "green", "école")) {
            for (double quota : new double[] {0.05, 0.2, 0.4}) {
                text.append(tenant).append(' ').append(quota).append(' ');
                List<String> currentPool = List.of("s3", "s8");
                Set<String> reserved = Set.of("s1", "s2");
                text.append(PoolReservation.selectEndpoints(tenant, ready, currentPool, reserved, quota, 0.5))
                        .append('\n');
            }
        }
        assertMatches("contention/reservations.txt", text.toString());
    }
}
