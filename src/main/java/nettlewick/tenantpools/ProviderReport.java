package nettlewick.tenantpools;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/**
 * What the provider has told of a member's pool.
 *
 * @param size  how many are to run
 * @param etag  stands for this version of the pool
 * @param bills what runs, and what ran in this month and the one before
 * @param date  its clock when it answered, in milliseconds of Unix time
 * @param at    when it was asked, on the own monotonic clock
 */
record ProviderReport(
        int desiredSize, String etag, List<InstanceCharge> charges, long providerTimeMillis, double requestedAtMillis) {
    /** @throws RuntimeException where the answer is no such list */
    static ProviderReport parse(String body, String etag, long date, double at) {
        JsonObject pool = JsonParser.parseString(body).getAsJsonObject();
        List<InstanceCharge> bills = new ArrayList<>();
        for (JsonElement one : pool.getAsJsonArray("runners")) {
            JsonObject r = one.getAsJsonObject();
            InstanceCharge bill = new InstanceCharge(
                    r.get("name").getAsString(),
                    r.get("kind").getAsString(),
                    r.get("zone").getAsString(),
                    r.get("since_ms").getAsLong(),
                    r.get("until_ms").getAsLong(),
                    r.get("cents_per_hour").getAsLong(),
                    r.get("least_ms").getAsLong());
            if (bill.centsPerHour() < 0 || bill.minBilledMillis() < 0) {
                throw new IllegalArgumentException("a price below nothing");
            }
            bills.add(bill);
        }
        if (etag == null) {
            throw new IllegalArgumentException("no ETag");
        }
        return new ProviderReport(pool.get("size").getAsInt(), etag, bills, date, at);
    }

    /** The provider's clock by now. Danger: its word is rounded down to a second. */
    long providerNowMillis(double ownNow) {
        return providerTimeMillis + 1000 + Math.round(ownNow - requestedAtMillis);
    }

    List<InstanceCharge> runningCharges() {
        return charges.stream().filter(InstanceCharge::isRunning).toList();
    }
}
