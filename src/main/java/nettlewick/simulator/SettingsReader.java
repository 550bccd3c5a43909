package nettlewick.simulator;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;

/** Converts the JSON settings of one instance. */
final class SettingsReader {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ANY_ENDPOINT_KIND = -1;

    private SettingsReader() {}

    static SchedulerSettings read(MessageFields instance) {
        MessageFields setup = instance.withName("setup");
        MessageFields familyInfo = setup.objectOrNull("family_info");
        List<RequestClass> classes = classes(setup, familyInfo);
        List<Tenant> tenants = tenants(setup);
        List<String> models = new ArrayList<>();
        setup.listOrEmpty("models").forEach(model -> models.add(String.valueOf(model)));
        MessageFields limits = setup.object("ceilings");
        MessageFields rules = setup.object("rules");
        LoadReporting reporting = reporting(setup);
        String weights = setup.textOrNull("weights");
        return new SchedulerSettings(
                (int) setup.wholeNumber("rank"),
                (int) setup.wholeNumber("fleet_size"),
                setup.textOrNull("zone"),
                classes,
                tenants,
                models,
                "on_request".equals(setup.textOrNull("membership_mode")),
                "nominal".equals(weights) || "rough".equals(weights),
                reporting,
                familyInfo == null ? 0 : (long) familyInfo.numberOr("progress", 0),
                limits(limits),
                rules(rules));
    }

    private static List<RequestClass> classes(MessageFields setup, MessageFields familyInfo) {
        List<?> endpointKinds = familyInfo == null ? List.of() : familyInfo.listOrEmpty("class_kind");
        List<?> objectiveStretches = familyInfo == null ? List.of() : familyInfo.listOrEmpty("class_stretch");
        List<?> priorities = familyInfo == null ? List.of() : familyInfo.listOrEmpty("class_priority");
        List<RequestClass> classes = new ArrayList<>();
        for (Object element : setup.list("classes")) {
            MessageFields fields = MessageFields.of("setup.classes", element);
            int index = classes.size();
            classes.add(new RequestClass(
                    fields.text("name"),
                    idempotency(fields.text("repeat")),
                    scope(fields.textOrNull("dedup_scope")),
                    (long) fields.numberOr("window", 0),
                    fields.wholeNumber("aim"),
                    fields.numberOr("aim_stretch", numberAt(objectiveStretches, index, 0)),
                    (long) fields.numberOr("deadline", 0),
                    fields.numberOr("worth", 1),
                    fields.numberOr("late_worth", 0),
                    fields.flag("stream"),
                    (int) numberAt(endpointKinds, index, ANY_ENDPOINT_KIND),
                    (int) numberAt(priorities, index, 0)));
        }
        return classes;
    }

    private static double numberAt(List<?> values, int index, double defaultValue) {
        return index < values.size() ? MessageFields.toNumber(values.get(index)) : defaultValue;
    }

    private static List<Tenant> tenants(MessageFields setup) {
        List<Tenant> tenants = new ArrayList<>();
        for (Object element : setup.listOrEmpty("tenants")) {
            MessageFields fields = MessageFields.of("setup.tenants", element);
            tenants.add(
                    new Tenant(fields.text("name"), fields.numberOr("fraction", 0), fields.numberOr("quota_per_s", 0)));
        }
        return tenants;
    }

    private static LoadReporting reporting(MessageFields setup) {
        MessageFields report = setup.objectOrNull("report");
        String source = report == null ? "off" : report.textOrNull("source");
        if ("inline".equals(source)) {
            return LoadReporting.INLINE;
        }
        return "on_probe".equals(source) ? LoadReporting.ON_PROBE : LoadReporting.OFF;
    }

    private static Limits limits(MessageFields limits) {
        return new Limits(
                (int) limits.wholeNumber("attempts_cap"),
                limits.flag("cancel"),
                limits.flag("peers"),
                limits.flag("probes"),
                limits.flag("retry_after"),
                limits.flag("second_copies"),
                (long) limits.numberOr("max_retry_after", 0));
    }

    private static Rules rules(MessageFields rules) {
        return new Rules(
                (long) rules.numberOr("answer_slack", 0),
                (long) rules.numberOr("ask_within", NANOS_PER_SECOND),
                (long) rules.numberOr("cold", 0),
                rules.numberOr("cold_share", 1),
                (long) rules.numberOr("drain_grace", 0),
                (long) rules.numberOr("fall", 0),
                rules.numberOr("overload_factor", 1));
    }

    private static Idempotency idempotency(String word) {
        return switch (word) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.KEYED;
            case "fragile" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new MalformedMessageException("setup.classes has an unknown repeat " + word);
        };
    }

    private static Scope scope(String word) {
        if ("zone".equals(word)) {
            return Scope.ZONE;
        }
        return "cell".equals(word) ? Scope.CELL : Scope.ALL;
    }
}
