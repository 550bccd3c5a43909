package nettlewick.tenantpools;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/**
 * The provider's report on a tenant's instances.
 *
 * @param desiredSize        the number of instances that the provider is to run
 * @param etag               the version of this report
 * @param charges            instances that are running, or were running in the current or the previous month
 * @param providerTimeMillis the provider's clock when it responded, in milliseconds of Unix time, rounded down to a
 *                           second
 * @param requestedAtMillis  when the request was sent, on the local monotonic clock
 */
record ProviderReport(
        int desiredSize, String etag, List<InstanceCharge> charges, long providerTimeMillis, double requestedAtMillis) {
    /** The provider's clock is known only to the second. */
    private static final long CLOCK_RESOLUTION_MILLIS = 1000;

    /**
     * Parses the body of a response.
     *
     * @throws RuntimeException if the body or the ETag is missing or malformed
     */
    static ProviderReport parse(String body, String etag, long providerTimeMillis, double requestedAtMillis) {
        JsonObject root = JsonParser.parseString(body).getAsJsonObject();
        List<InstanceCharge> charges = new ArrayList<>();
        for (JsonElement element : root.getAsJsonArray("runners")) {
            charges.add(parseCharge(element.getAsJsonObject()));
        }
        if (etag == null) {
            throw new IllegalArgumentException("ETag is missing");
        }
        return new ProviderReport(root.get("size").getAsInt(), etag, charges, providerTimeMillis, requestedAtMillis);
    }

    private static InstanceCharge parseCharge(JsonObject instance) {
        InstanceCharge charge = new InstanceCharge(
                instance.get("name").getAsString(),
                instance.get("kind").getAsString(),
                instance.get("zone").getAsString(),
                instance.get("since_ms").getAsLong(),
                instance.get("until_ms").getAsLong(),
                instance.get("cents_per_hour").getAsLong(),
                instance.get("least_ms").getAsLong());
        if (charge.centsPerHour() < 0 || charge.minBilledMillis() < 0) {
            throw new IllegalArgumentException(
                    "cents_per_hour and least_ms of " + charge.name() + " must not be negative");
        }
        return charge;
    }

    /** The upper bound of the current time on the provider's clock. */
    long providerNowMillis(double nowMillis) {
        return providerTimeMillis + CLOCK_RESOLUTION_MILLIS + Math.round(nowMillis - requestedAtMillis);
    }

    List<InstanceCharge> runningCharges() {
        return charges.stream().filter(InstanceCharge::isRunning).toList();
    }
}
