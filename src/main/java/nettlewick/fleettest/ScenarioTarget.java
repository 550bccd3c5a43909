package nettlewick.fleettest;

import java.util.List;
import nettlewick.settings.ValueType;

/**
 * Whom a step of a scenario means: {@code n3} (a dispatcher), {@code s7} (a sim runner), {@code discovery},
 * {@code provider}, {@code dispatchers}, {@code runners}, {@code all} (both), {@code holder-red} (whoever
 * holds
 * that member's duty), or the name of a zone.
 *
 * @param part the part of them that is meant, from 0 to 1, drawn from the scenario's seed
 */
record ScenarioTarget(String name, double fraction) {
    private static final List<String> GROUPS = List.of("discovery", "provider", "dispatchers", "runners", "all");
    private static final String HOLDER = "holder-";

    static ValueType<ScenarioTarget> type() {
        return new ValueType<>(
                "PARTY",
                "n3, s7, discovery, dispatchers, runners, all or a zone",
                word -> word.matches("[A-Za-z][A-Za-z0-9_-]{0,40}") ? new ScenarioTarget(word, 1) : null);
    }

    /** The number in {@code n3} or {@code s7}; -1 where this names no single one of that kind. */
    int number(char kind) {
        return name.matches(kind + "\\d{1,5}") ? Integer.parseInt(name.substring(1)) : -1;
    }

    /** The member in {@code holder-red}: whoever holds its duty then; else null. */
    String holderTenant() {
        return name.startsWith(HOLDER) ? name.substring(HOLDER.length()) : null;
    }

    boolean isGroup() {
        return GROUPS.contains(name) || holderTenant() != null;
    }
}
