package nettlewick.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.EndpointEntry;
import nettlewick.decision.EndpointLoad;
import nettlewick.decision.EndpointState;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.EndpointListFailed;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;

/** The bench's JSON wire to the types of {@link Dispatcher} and back. Decides nothing. */
public final class WireCodec {
    /** Input that is not of this wire; the message is one plain line. */
    public static final class MalformedMessageException extends RuntimeException {
        private static final long serialVersionUID = 1;

        MalformedMessageException(String message) {
            super(message.replace('\n', ' ').replace('\r', ' '));
        }
    }

    /** A new instance of the module begins. */
    record Start(SchedulerSettings settings, long seed) {}

    /** The instance dies. */
    record Kill() {}

    /** The events of one instance: {@link Dispatcher.StreamEvent}s, {@link Start}s and {@link Kill}s, in order. */
    record Group(int instance, List<Object> items) {}

    /** One line of input. */
    record Batch(long now, long number, List<Group> groups) {}

    private static final double NANOS = 1e9;

    private final JsonFactory json = new JsonFactory();
    private final Map<Long, List<EndpointEntry>> ledgers = new HashMap<>();

    /** Reads one batch. */
    Batch read(String line) {
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("a batch is an object");
            }
            Long now = null;
            Long number = null;
            List<Group> groups = null;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "wall" -> now = whole(parser, "batch", name);
                    case "batch" -> number = whole(parser, "batch", name);
                    case "groups" -> groups = groups(parser);
                    default -> parser.skipChildren();
                }
            }
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("something follows the batch on its line");
            }
            return new Batch(
                    need(now, "batch", "wall"), need(number, "batch", "batch"), need(groups, "batch", "groups"));
        } catch (IOException e) {
            throw new MalformedMessageException("not JSON: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    private List<Group> groups(JsonParser parser) throws IOException {
        List<Group> groups = new ArrayList<>();
        expect(parser, JsonToken.START_ARRAY, "groups");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, JsonToken.START_OBJECT, "a group");
            Long instance = null;
            List<Object> items = null;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "dispatcher_id" -> instance = whole(parser, "group", name);
                    case "items" -> items = items(parser);
                    default -> parser.skipChildren();
                }
            }
            groups.add(new Group(need(instance, "group", "dispatcher_id").intValue(), need(items, "group", "items")));
        }
        return groups;
    }

    private List<Object> items(JsonParser parser) throws IOException {
        List<Object> items = new ArrayList<>();
        expect(parser, JsonToken.START_ARRAY, "items");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, JsonToken.START_OBJECT, "an event");
            Object item = event(new Fields(object(parser)));
            if (item != null) {
                items.add(item);
            }
        }
        return items;
    }

    private Object event(Fields f) {
        String type = f.text("type");
        f.where = type;
        switch (type) {
            case "NEW_INSTANCE":
                return new Start(settings(f.part("setup")), f.whole("init_seed"));
            case "LEDGER":
                ledgers.put(f.whole("slot"), entries(f.list("elements")));
                return null;
            case "ROSTER_CHANGE":
                long scope = f.whole("scope");
                if (scope == 3) {
                    return new EndpointListFailed();
                }
                List<EndpointEntry> entries = ledgers.get(f.whole("slot"));
                if (entries == null || scope < 0 || scope > 3) {
                    throw new MalformedMessageException(
                            "ROSTER_CHANGE of scope " + scope + " names no known slot or scope");
                }
                return new EndpointList(scope != 0, entries);
            case "ARRIVAL":
                return new Arrival(
                        f.text("txn"),
                        f.text("class"),
                        f.textOr("owner"),
                        f.whole("remaining"),
                        f.numberOr("needs", 1),
                        f.numberOr("mem", 0),
                        (long) f.numberOr("weight_hint", 0),
                        f.textOr("name_key"),
                        f.flag("repeat"));
            case "MEMO":
                return new PeerMessageReceived((int) f.whole("who"), bytes(f.text("data")));
            case "VANISHED":
                return new Abandoned(f.text("txn"));
            case "ACCEPTED":
                return new StreamStarted(f.text("txn"), (int) f.whole("seq_no"));
            case "KILL":
                return new Kill();
            case "REPLY":
                return new Outcome(
                        f.text("txn"),
                        (int) f.whole("seq_no"),
                        f.text("worker"),
                        result(f.text("disposition")),
                        f.whole("latency"),
                        f.flag("settled"),
                        load(f));
            case "INTERIM":
                return new Progress(f.text("txn"), (int) f.whole("seq_no"), f.text("worker"), f.numberOr("amount", 0));
            case "REMINDER":
                return new Timer(f.text("mark"));
            case "HEALTH":
                return new ProbeAnswer(f.text("worker"), result(f.text("disposition")), f.whole("latency"), load(f));
            default:
                throw new MalformedMessageException("unknown event type " + type);
        }
    }

    private static AttemptResult result(String code) {
        return switch (code) {
            case "completed" -> AttemptResult.SERVED;
            case "errored" -> AttemptResult.ERROR;
            case "saturated" -> AttemptResult.OVERLOADED;
            case "overdue" -> AttemptResult.TIMEOUT;
            case "refused_conn" -> AttemptResult.UNREACHABLE;
            case "severed" -> AttemptResult.BROKEN;
            case "recalled" -> AttemptResult.CANCELLED;
            case "superseded" -> AttemptResult.NOT_SENT;
            default -> throw new MalformedMessageException("unknown disposition " + code);
        };
    }

    private static EndpointLoad load(Fields f) {
        Fields report = f.partOr("telemetry");
        if (report == null) {
            return null;
        }
        double nan = Double.NaN;
        return new EndpointLoad(
                report.numberOr("x0", nan),
                report.numberOr("x1", nan),
                report.numberOr("depth", nan),
                report.numberOr("concurrent", nan),
                report.numberOr("load_share", nan));
    }

    private static List<EndpointEntry> entries(List<?> elements) {
        List<EndpointEntry> entries = new ArrayList<>(elements.size());
        for (Object element : elements) {
            Fields f = new Fields(map(element));
            f.where = "list entry";
            long life = f.whole("lifecycle");
            if (life != 0 && life != 2 && life != 3) {
                throw new MalformedMessageException("unknown lifecycle " + life);
            }
            entries.add(new EndpointEntry(
                    f.text("worker"),
                    life == 0 ? EndpointState.READY : life == 3 ? EndpointState.DRAINING : EndpointState.GONE,
                    (long) f.numberOr("started_at", 0),
                    (int) f.numberOr("cohort", 0),
                    f.textOr("generation_hw"),
                    f.textOr("campus"),
                    f.numberOr("size", 1)));
        }
        return entries;
    }

    private static SchedulerSettings settings(Fields f) {
        f.where = "setup";
        Fields family = f.partOr("family_info");
        List<?> kinds = family == null ? List.of() : family.listOr("class_kind");
        List<?> stretches = family == null ? List.of() : family.listOr("class_stretch");
        List<?> priorities = family == null ? List.of() : family.listOr("class_priority");
        List<RequestClass> classes = new ArrayList<>();
        for (Object element : f.list("classes")) {
            Fields c = new Fields(map(element));
            c.where = "setup.classes";
            int at = classes.size();
            classes.add(new RequestClass(
                    c.text("name"),
                    repeat(c.text("repeat")),
                    scope(c.textOr("dedup_scope")),
                    (long) c.numberOr("window", 0),
                    c.whole("aim"),
                    c.numberOr("aim_stretch", at < stretches.size() ? number(stretches.get(at)) : 0),
                    (long) c.numberOr("deadline", 0),
                    c.numberOr("worth", 1),
                    c.numberOr("late_worth", 0),
                    c.flag("stream"),
                    at < kinds.size() ? (int) number(kinds.get(at)) : -1,
                    at < priorities.size() ? (int) number(priorities.get(at)) : 0));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object element : f.listOr("tenants")) {
            Fields t = new Fields(map(element));
            tenants.add(new Tenant(t.text("name"), t.numberOr("fraction", 0), t.numberOr("quota_per_s", 0)));
        }
        List<String> models = new ArrayList<>();
        f.listOr("models").forEach(model -> models.add(String.valueOf(model)));
        Fields limits = f.part("ceilings");
        Fields rules = f.part("rules");
        Fields report = f.partOr("report");
        String source = report == null ? "off" : report.textOr("source");
        String weights = f.textOr("weights");
        return new SchedulerSettings(
                (int) f.whole("rank"),
                (int) f.whole("fleet_size"),
                f.textOr("zone"),
                classes,
                tenants,
                models,
                "on_request".equals(f.textOr("membership_mode")),
                "nominal".equals(weights) || "rough".equals(weights),
                "inline".equals(source)
                        ? LoadReporting.INLINE
                        : "on_probe".equals(source) ? LoadReporting.ON_PROBE : LoadReporting.OFF,
                family == null ? 0 : (long) family.numberOr("progress", 0),
                new Limits(
                        (int) limits.whole("attempts_cap"),
                        limits.flag("cancel"),
                        limits.flag("peers"),
                        limits.flag("probes"),
                        limits.flag("retry_after"),
                        limits.flag("second_copies"),
                        (long) limits.numberOr("max_retry_after", 0)),
                new Rules(
                        (long) rules.numberOr("answer_slack", 0),
                        (long) rules.numberOr("ask_within", NANOS),
                        (long) rules.numberOr("cold", 0),
                        rules.numberOr("cold_share", 1),
                        (long) rules.numberOr("drain_grace", 0),
                        (long) rules.numberOr("fall", 0),
                        rules.numberOr("overload_factor", 1)));
    }

    private static Idempotency repeat(String word) {
        return switch (word) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.KEYED;
            case "fragile" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new MalformedMessageException("setup.classes has an unknown repeat " + word);
        };
    }

    private static Scope scope(String word) {
        return "zone".equals(word) ? Scope.ZONE : "cell".equals(word) ? Scope.CELL : Scope.ALL;
    }

    /** Starts a reply on {@code out}. */
    Reply reply(OutputStream out, long number) throws IOException {
        return new Reply(json.createGenerator(out).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET), number);
    }

    /** Writes one reply, group by group. */
    static final class Reply {
        private final JsonGenerator out;

        private Reply(JsonGenerator out, long number) throws IOException {
            this.out = out;
            out.writeStartObject();
            out.writeNumberField("batch", number);
            out.writeArrayFieldStart("groups");
        }

        void open(int instance) throws IOException {
            out.writeStartObject();
            out.writeNumberField("dispatcher_id", instance);
            out.writeArrayFieldStart("orders");
        }

        void shut() throws IOException {
            out.writeEndArray();
            out.writeEndObject();
        }

        void end() throws IOException {
            out.writeEndArray();
            out.writeEndObject();
            out.writeRaw('\n');
            out.close();
        }

        void fault(String cause) throws IOException {
            type("INTERNAL_ERROR");
            out.writeStringField("msg", cause);
            out.writeEndObject();
        }

        private void type(String type) throws IOException {
            out.writeStartObject();
            out.writeStringField("type", type);
        }

        void write(Action action) throws IOException {
            if (action instanceof Dispatch a) {
                type("RELAY");
                out.writeStringField("txn", a.id());
                out.writeStringField("worker", a.endpoint());
                optional("patience", a.timeout());
            } else if (action instanceof Reject a) {
                type("OVERLOAD_REPLY");
                out.writeStringField("txn", a.id());
                optional("backoff", a.retryAfter());
            } else if (action instanceof Fail a) {
                type("DROP_REQUEST");
                out.writeStringField("txn", a.id());
            } else if (action instanceof Cancel a) {
                type("UNDO_SEND");
                out.writeStringField("txn", a.id());
                out.writeNumberField("seq_no", a.attempt());
            } else if (action instanceof Probe a) {
                type("PING");
                out.writeStringField("worker", a.endpoint());
            } else if (action instanceof SendToPeer a) {
                type("BROADCAST_TO");
                out.writeNumberField("neighbour_id", a.rank());
                out.writeStringField("data", Base64.getEncoder().encodeToString(a.data()));
            } else if (action instanceof SetTimer a) {
                type("REMIND");
                out.writeNumberField("wait", a.delay());
                out.writeStringField("mark", a.name());
            } else {
                type("SUBSCRIBE");
                out.writeBooleanField("enable", true);
            }
            out.writeEndObject();
        }

        private void optional(String field, long value) throws IOException {
            if (value > 0) {
                out.writeNumberField(field, value);
            }
        }
    }

    /** The fields of one object, with plain words for what is missing or of the wrong type. */
    private static final class Fields {
        private final Map<String, Object> map;
        private String where = "event";

        Fields(Map<String, Object> map) {
            this.map = map;
        }

        String text(String name) {
            if (need(map.get(name), where, name) instanceof String text) {
                return text;
            }
            throw new MalformedMessageException(where + "." + name + " is not a text");
        }

        String textOr(String name) {
            return map.get(name) instanceof String text ? text : null;
        }

        long whole(String name) {
            if (need(map.get(name), where, name) instanceof Long value) {
                return value;
            }
            throw new MalformedMessageException(where + "." + name + " is not a whole number");
        }

        double numberOr(String name, double otherwise) {
            Object value = map.get(name);
            return value == null ? otherwise : number(value);
        }

        boolean flag(String name) {
            return Boolean.TRUE.equals(map.get(name));
        }

        Fields part(String name) {
            Fields part = new Fields(map(need(map.get(name), where, name)));
            part.where = where + "." + name;
            return part;
        }

        Fields partOr(String name) {
            return map.get(name) == null ? null : part(name);
        }

        List<?> list(String name) {
            if (need(map.get(name), where, name) instanceof List<?> list) {
                return list;
            }
            throw new MalformedMessageException(where + "." + name + " is not an array");
        }

        List<?> listOr(String name) {
            return map.get(name) == null ? List.of() : list(name);
        }
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> map = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            map.put(name, value(parser, parser.nextToken()));
        }
        return map;
    }

    private static Object value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser, parser.currentToken()));
                }
                yield list;
            }
            default -> null;
        };
    }

    private static Long integer(JsonParser parser) throws IOException {
        // A seed may use all 64 bits without a sign.
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue()
                : parser.getLongValue();
    }

    private static Map<String, Object> map(Object value) {
        if (value instanceof Map<?, ?>) {
            @SuppressWarnings("unchecked")
            Map<String, Object> map = (Map<String, Object>) value;
            return map;
        }
        throw new MalformedMessageException("an object is expected where there is " + value);
    }

    private static double number(Object value) {
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw new MalformedMessageException("a number is expected where there is " + value);
    }

    private static byte[] bytes(String text) {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("MEMO.data is not base64");
        }
    }

    private static long whole(JsonParser parser, String where, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedMessageException(where + "." + name + " is not a whole number");
        }
        return parser.getLongValue();
    }

    private static void expect(JsonParser parser, JsonToken token, String what) {
        if (parser.currentToken() != token) {
            throw new MalformedMessageException(what + " is expected, not " + parser.currentToken());
        }
    }

    private static <T> T need(T value, String where, String name) {
        if (value == null) {
            throw new MalformedMessageException(where + " lacks " + name);
        }
        return value;
    }
}
