package nettlewick.simulator;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointEntry;
import nettlewick.decision.EndpointLoad;
import nettlewick.decision.EndpointState;
import nettlewick.decision.Event;
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
import nettlewick.simulator.Batch.EventItem;
import nettlewick.simulator.Batch.Item;
import nettlewick.simulator.Batch.Kill;
import nettlewick.simulator.Batch.NewInstance;

/**
 * Converts JSON events. An endpoint list is sent once with a slot number; events that change the list of an instance
 * refer to it by that number.
 */
final class EventReader {
    /** Values of {@code ROSTER_CHANGE.scope}. */
    private static final int SCOPE_CHANGES = 0;

    private static final int SCOPE_LIST_FAILED = 3;

    /** Values of {@code lifecycle} in an endpoint list entry. */
    private static final int LIFECYCLE_READY = 0;

    private static final int LIFECYCLE_GONE = 2;
    private static final int LIFECYCLE_DRAINING = 3;

    private final Map<Long, List<EndpointEntry>> listsBySlot = new HashMap<>();

    /** The item for the instance; empty for an endpoint list, which is stored for later events. */
    Optional<Item> read(MessageFields event) {
        String type = event.text("type");
        MessageFields fields = event.withName(type);
        switch (type) {
            case "NEW_INSTANCE":
                return Optional.of(
                        new NewInstance(SettingsReader.read(fields.object("setup")), fields.wholeNumber("init_seed")));
            case "KILL":
                return Optional.of(new Kill());
            case "LEDGER":
                listsBySlot.put(fields.wholeNumber("slot"), entries(fields.list("elements")));
                return Optional.empty();
            default:
                return Optional.of(new EventItem(readEvent(type, fields)));
        }
    }

    private Event readEvent(String type, MessageFields fields) {
        return switch (type) {
            case "ROSTER_CHANGE" -> endpointList(fields);
            case "ARRIVAL" -> arrival(fields);
            case "MEMO" -> new PeerMessageReceived((int) fields.wholeNumber("who"), bytes(fields.text("data")));
            case "VANISHED" -> new Abandoned(fields.text("txn"));
            case "ACCEPTED" -> new StreamStarted(fields.text("txn"), (int) fields.wholeNumber("seq_no"));
            case "REPLY" -> outcome(fields);
            case "INTERIM" -> progress(fields);
            case "REMINDER" -> new Timer(fields.text("mark"));
            case "HEALTH" -> probeAnswer(fields);
            default -> throw new MalformedMessageException("unknown event type " + type);
        };
    }

    private Event endpointList(MessageFields fields) {
        long scope = fields.wholeNumber("scope");
        if (scope == SCOPE_LIST_FAILED) {
            return new EndpointListFailed();
        }
        List<EndpointEntry> entries = listsBySlot.get(fields.wholeNumber("slot"));
        if (entries == null || scope < SCOPE_CHANGES || scope > SCOPE_LIST_FAILED) {
            throw new MalformedMessageException("ROSTER_CHANGE of scope " + scope + " names no known slot or scope");
        }
        return new EndpointList(scope != SCOPE_CHANGES, entries);
    }

    private static Arrival arrival(MessageFields fields) {
        return new Arrival(
                fields.text("txn"),
                fields.text("class"),
                fields.textOrNull("owner"),
                fields.wholeNumber("remaining"),
                fields.numberOr("needs", 1),
                fields.numberOr("mem", 0),
                (long) fields.numberOr("weight_hint", 0),
                fields.textOrNull("name_key"),
                fields.flag("repeat"));
    }

    private static Outcome outcome(MessageFields fields) {
        return new Outcome(
                fields.text("txn"),
                (int) fields.wholeNumber("seq_no"),
                fields.text("worker"),
                result(fields.text("disposition")),
                fields.wholeNumber("latency"),
                fields.flag("settled"),
                load(fields));
    }

    private static Progress progress(MessageFields fields) {
        return new Progress(
                fields.text("txn"),
                (int) fields.wholeNumber("seq_no"),
                fields.text("worker"),
                fields.numberOr("amount", 0));
    }

    private static ProbeAnswer probeAnswer(MessageFields fields) {
        return new ProbeAnswer(
                fields.text("worker"), result(fields.text("disposition")), fields.wholeNumber("latency"), load(fields));
    }

    private static AttemptResult result(String disposition) {
        return switch (disposition) {
            case "completed" -> AttemptResult.SERVED;
            case "errored" -> AttemptResult.ERROR;
            case "saturated" -> AttemptResult.OVERLOADED;
            case "overdue" -> AttemptResult.TIMEOUT;
            case "refused_conn" -> AttemptResult.UNREACHABLE;
            case "severed" -> AttemptResult.BROKEN;
            case "recalled" -> AttemptResult.CANCELLED;
            case "superseded" -> AttemptResult.NOT_SENT;
            default -> throw new MalformedMessageException("unknown disposition " + disposition);
        };
    }

    /** The load report of the message, or null. Values that are not reported are NaN. */
    private static EndpointLoad load(MessageFields fields) {
        MessageFields report = fields.objectOrNull("telemetry");
        if (report == null) {
            return null;
        }
        return new EndpointLoad(
                report.numberOr("x0", Double.NaN),
                report.numberOr("x1", Double.NaN),
                report.numberOr("depth", Double.NaN),
                report.numberOr("concurrent", Double.NaN),
                report.numberOr("load_share", Double.NaN));
    }

    private static List<EndpointEntry> entries(List<?> elements) {
        List<EndpointEntry> entries = new ArrayList<>(elements.size());
        for (Object element : elements) {
            entries.add(entry(MessageFields.of("list entry", element)));
        }
        return entries;
    }

    private static EndpointEntry entry(MessageFields fields) {
        EndpointState state = state(fields.wholeNumber("lifecycle"));
        return new EndpointEntry(
                fields.text("worker"),
                state,
                (long) fields.numberOr("started_at", 0),
                (int) fields.numberOr("cohort", 0),
                fields.textOrNull("generation_hw"),
                fields.textOrNull("campus"),
                fields.numberOr("size", 1));
    }

    private static EndpointState state(long lifecycle) {
        if (lifecycle == LIFECYCLE_READY) {
            return EndpointState.READY;
        }
        if (lifecycle == LIFECYCLE_DRAINING) {
            return EndpointState.DRAINING;
        }
        if (lifecycle == LIFECYCLE_GONE) {
            return EndpointState.GONE;
        }
        throw new MalformedMessageException("unknown lifecycle " + lifecycle);
    }

    private static byte[] bytes(String base64) {
        try {
            return Base64.getDecoder().decode(base64);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("MEMO.data is not base64");
        }
    }
}
