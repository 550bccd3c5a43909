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
record ProviderReport(int size, String etag, List<InstanceCharge> bills, long date, double at) {
    /** @throws RuntimeException where the answer is no such list */
    static ProviderReport of(String body, String etag, long date, double at) {
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
            if (bill.cents() < 0 || bill.least() < 0) {
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
    long now(double ownNow) {
        return date + 1000 + Math.round(ownNow - at);
    }

    List<InstanceCharge> running() {
        return bills.stream().filter(InstanceCharge::runs).toList();
    }
}
