package nettlewick.tenantpools;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettlewick.contention.MigrationState;

/**
 * All that a member's duty remembers: one JSON object of some hundred bytes.
 *
 * @param term  how many times the duty has been held
 * @param move  how far the member has been moved
 * @param added runners that the provider runs for it, by name, as last seen
 * @param money what was asked of the provider
 */
record PoolState(long term, MigrationState move, List<String> added, Money money) {
    private static final Gson GSON = new Gson();
    static final PoolState FIRST = new PoolState(0, MigrationState.NOWHERE, List.of(), Money.NONE);

    /**
     * @param month  the latest month that has begun, such as 2026-12; empty before the first
     * @param intent what is being asked for; null: nothing
     * @param near   the month in which the near mark was reached; empty: none
     */
    record Money(String month, Intent intent, String near) {
        static final Money NONE = new Money("", null, "");

        Money in(String newMonth) {
            return new Money(newMonth, intent, near);
        }

        Money asking(Intent next) {
            return new Money(month, next, near);
        }

        Money nearIn(String reached) {
            return new Money(month, intent, reached);
        }
    }

    /**
     * So many runners are to run. Stored before the provider is asked.
     *
     * @param key   the provider does what comes with one key once
     * @param cents least cost of those that it adds
     */
    record Intent(String key, int size, long cents) {}

    byte[] bytes() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Where there is nothing, or nothing that can be read, all begins anew. */
    static PoolState of(byte[] data) {
        try {
            PoolState s = GSON.fromJson(new String(data, StandardCharsets.UTF_8), PoolState.class);
            return s == null || s.move == null || s.move.step() == null || s.money == null || s.added == null
                    ? FIRST
                    : s;
        } catch (JsonParseException e) {
            return FIRST;
        }
    }

    PoolState moved(MigrationState next) {
        return new PoolState(term, next, added, money);
    }

    PoolState paying(Money next) {
        return new PoolState(term, move, added, next);
    }

    PoolState with(List<String> names) {
        return new PoolState(term, move, names, money);
    }

    PoolState held() {
        return new PoolState(term + 1, move, added, money);
    }
}
