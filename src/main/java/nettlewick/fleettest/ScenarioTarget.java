package nettlewick.fleettest;

import java.util.List;
import nettlewick.settings.ValueType;

/**
 * The target of a scenario step: {@code n3} (a dispatcher), {@code s7} (an endpoint), {@code discovery}, {@code
 * provider}, {@code dispatchers}, {@code runners}, {@code all} (dispatchers and endpoints), {@code holder-red} (the
 * holder of that tenant's lease task), or the name of a zone.
 *
 * @param fraction the part of the group that is affected, from 0 to 1, selected with the scenario's seed
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

    /** Returns the number in {@code n3} or {@code s7}; -1 if this is not a single party of that kind. */
    int number(char kind) {
        return name.matches(kind + "\\d{1,5}") ? Integer.parseInt(name.substring(1)) : -1;
    }

    /** Returns the tenant in {@code holder-red}; else null. */
    String holderTenant() {
        return name.startsWith(HOLDER) ? name.substring(HOLDER.length()) : null;
    }

    boolean isGroup() {
        return GROUPS.contains(name) || holderTenant() != null;
    }
}
