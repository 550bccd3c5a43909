package nettlewick.net.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;
import nettlewick.net.format.JsonFields;

/** Parses the scheduler settings of a configuration; their keywords are known only here. */
final class SettingsParser {
    private static final long MAX_DURATION_NANOS = Long.MAX_VALUE / 4;
    private static final long DEFAULT_POLL_WITHIN_NANOS = 1_000_000_000;
    private static final double MAX_FACTOR = 1e9;
    private static final int MAX_FLEET_SIZE = 1 << 20;
    private static final Map<String, Idempotency> IDEMPOTENCY_NAMES = idempotencyNames();
    private static final Map<String, Scope> SCOPE_NAMES = scopeNames();

    private SettingsParser() {}

    /** Parses the settings; throws {@link JsonFields.InvalidFieldException} if a field is invalid. */
    static SchedulerSettings parse(JsonFields fields) {
        JsonFields familyInfo = fields.objectOrEmpty("family_info");
        List<RequestClass> classes = parseClasses(fields, familyInfo);
        List<Tenant> tenants = parseTenants(fields);
        JsonFields ceilings = fields.object("ceilings");
        JsonFields rules = fields.object("rules");
        String source = fields.objectOrEmpty("report").textOr("source", "off");
        String weights = fields.textOr("weights", "off");
        try {
            return new SchedulerSettings(
                    (int) fields.integer("rank", 0, MAX_FLEET_SIZE),
                    (int) fields.integer("fleet_size", 1, MAX_FLEET_SIZE),
                    fields.textOr("zone", null),
                    classes,
                    tenants,
                    fields.texts("models"),
                    "on_request".equals(fields.textOr("membership_mode", "pushed")),
                    "nominal".equals(weights) || "rough".equals(weights),
                    parseLoadReporting(source),
                    familyInfo.integerOr("progress", 0, 0, MAX_DURATION_NANOS),
                    parseLimits(ceilings),
                    parseRules(rules));
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidFieldException("settings", e.getMessage(), "a consistent set of settings");
        }
    }

    private static List<RequestClass> parseClasses(JsonFields fields, JsonFields familyInfo) {
        List<Double> kinds = familyInfo.numbers("class_kind");
        List<Double> stretches = familyInfo.numbers("class_stretch");
        List<Double> priorities = familyInfo.numbers("class_priority");
        List<RequestClass> classes = new ArrayList<>();
        for (JsonFields entry : fields.objects("classes")) {
            int index = classes.size();
            classes.add(new RequestClass(
                    entry.text("name"),
                    parseChoice(entry, "repeat", IDEMPOTENCY_NAMES, null),
                    parseChoice(entry, "dedup_scope", SCOPE_NAMES, Scope.ALL),
                    entry.integerOr("window", 0, 0, MAX_DURATION_NANOS),
                    entry.integer("aim", 1, MAX_DURATION_NANOS),
                    entry.numberOr("aim_stretch", elementOr(stretches, index, 0), 0, MAX_FACTOR),
                    entry.integerOr("deadline", 0, 0, MAX_DURATION_NANOS),
                    entry.numberOr("worth", 1, 0, MAX_FACTOR),
                    entry.numberOr("late_worth", 0, 0, MAX_FACTOR),
                    entry.flag("stream"),
                    (int) elementOr(kinds, index, -1),
                    (int) elementOr(priorities, index, 0)));
        }
        return classes;
    }

    private static List<Tenant> parseTenants(JsonFields fields) {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonFields entry : fields.objects("tenants")) {
            tenants.add(new Tenant(
                    entry.text("name"),
                    entry.numberOr("fraction", 0, 0, 1),
                    entry.numberOr("quota_per_s", 0, 0, MAX_FACTOR)));
        }
        return tenants;
    }

    private static LoadReporting parseLoadReporting(String source) {
        return switch (source) {
            case "inline" -> LoadReporting.INLINE;
            case "on_probe" -> LoadReporting.ON_PROBE;
            default -> LoadReporting.OFF;
        };
    }

    private static Limits parseLimits(JsonFields ceilings) {
        return new Limits(
                (int) ceilings.integer("attempts_cap", 1, 1000),
                ceilings.flag("cancel"),
                ceilings.flag("peers"),
                ceilings.flag("probes"),
                ceilings.flag("retry_after"),
                ceilings.flag("second_copies"),
                ceilings.integerOr("max_retry_after", 0, 0, MAX_DURATION_NANOS));
    }

    private static Rules parseRules(JsonFields rules) {
        return new Rules(
                rules.integerOr("answer_slack", 0, 0, MAX_DURATION_NANOS),
                rules.integerOr("ask_within", DEFAULT_POLL_WITHIN_NANOS, 0, MAX_DURATION_NANOS),
                rules.integerOr("cold", 0, 0, MAX_DURATION_NANOS),
                rules.numberOr("cold_share", 1, 0, 1),
                rules.integerOr("drain_grace", 0, 0, MAX_DURATION_NANOS),
                rules.integerOr("fall", 0, 0, MAX_DURATION_NANOS),
                rules.numberOr("overload_factor", 1, 0, MAX_FACTOR));
    }

    private static double elementOr(List<Double> list, int index, double defaultValue) {
        return index < list.size() ? list.get(index) : defaultValue;
    }

    /** The keywords for idempotency, in the order in which an error lists them. */
    private static Map<String, Idempotency> idempotencyNames() {
        Map<String, Idempotency> names = new LinkedHashMap<>();
        names.put("retryable", Idempotency.IDEMPOTENT);
        names.put("dedup", Idempotency.KEYED);
        names.put("fragile", Idempotency.NON_IDEMPOTENT);
        return names;
    }

    private static Map<String, Scope> scopeNames() {
        Map<String, Scope> names = new LinkedHashMap<>();
        for (Scope scope : Scope.values()) {
            names.put(scope.name().toLowerCase(Locale.ROOT), scope);
        }
        return names;
    }

    private static <E> E parseChoice(JsonFields fields, String name, Map<String, E> choices, E defaultValue) {
        if (defaultValue != null && !fields.has(name)) {
            return defaultValue;
        }
        E value = choices.get(fields.text(name));
        if (value == null) {
            throw new JsonFields.InvalidFieldException(
                    fields.path(name), fields.text(name), "one of " + upperCaseKeywords(choices.keySet()));
        }
        return value;
    }

    private static List<String> upperCaseKeywords(Set<String> keywords) {
        return keywords.stream()
                .map(keyword -> keyword.toUpperCase(Locale.ROOT))
                .toList();
    }
}
