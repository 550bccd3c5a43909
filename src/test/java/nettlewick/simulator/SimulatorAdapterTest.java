package nettlewick.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Action.Subscribe;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;
import nettlewick.decision.Event;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointListFailed;
import nettlewick.decision.Event.Outcome;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The simulator protocol: events, settings, actions, and the errors for malformed input. */
class SimulatorAdapterTest {
    private static final String SETUP = """
            {"fleet_size":3,"rank":1,"zone":"north","zones":["north"],"models":["box"],"novel":{"x":[1]},\
            "classes":[{"name":"read","repeat":"retryable","aim":200000000,"deadline":5000000000,"worth":2.0},\
            {"name":"keyed","repeat":"dedup","dedup_scope":"cell","window":1000,"aim":1,"deadline":5}],\
            "tenants":[{"name":"red","fraction":1.0,"quota_per_s":4.5}],\
            "family_info":{"class_kind":[-1,0],"class_stretch":[2.0,2.5],"class_priority":[0,1],"progress":7},\
            "report":{"source":"on_probe","names":["x0"]},"membership_mode":"on_request","weights":"nominal",\
            "ceilings":{"attempts_cap":3,"cancel":true,"peers":false,"probes":true,"retry_after":true,\
            "second_copies":false,"max_retry_after":9},\
            "rules":{"answer_slack":8,"ask_within":10,"cold":7,"cold_share":0.3,"drain_grace":2,"fall":3,\
            "overload_factor":3.0}}""";

    private static String start(String extraItems) {
        return "{\"wall\":5,\"batch\":1,\"groups\":[{\"dispatcher_id\":4,\"items\":["
                + "{\"type\":\"LEDGER\",\"slot\":0,\"elements\":[{\"worker\":\"10.0.0.1:90\",\"lifecycle\":0,"
                + "\"started_at\":null,\"cohort\":2,\"generation_hw\":\"box\",\"campus\":\"north\",\"size\":1.5}]},"
                + "{\"type\":\"NEW_INSTANCE\",\"init_seed\":18446744073709551615,\"setup\":" + SETUP + "},"
                + "{\"type\":\"ROSTER_CHANGE\",\"scope\":2,\"stamp\":1,\"slot\":0}" + extraItems + "]}]}";
    }

    private static String serve(String... lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter()
                .serve(new ByteArrayInputStream(String.join("\n", lines).getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static Batch read(String line) {
        return new BatchReader(new JsonFactory()).read(line);
    }

    private static Event event(String item) {
        Batch.Item read = read("{\"wall\":5,\"batch\":1,\"groups\":[{\"dispatcher_id\":4,\"items\":[" + item + "]}]}")
                .groups()
                .get(0)
                .items()
                .get(0);
        return ((Batch.EventItem) read).event();
    }

    @Test
    void settingsAreRead() {
        Batch.NewInstance start =
                (Batch.NewInstance) read(start("")).groups().get(0).items().get(0);
        SchedulerSettings s = start.settings();
        assertEquals(-1, start.seed());
        assertEquals(
                new RequestClass("keyed", Idempotency.KEYED, Scope.CELL, 1000, 1, 2.5, 5, 1, 0, false, 0, 1),
                s.classes().get(1));
        assertEquals(new Tenant("red", 1, 4.5), s.tenants().get(0));
        assertEquals(new Limits(3, true, false, true, true, false, 9), s.limits());
        assertEquals(new Rules(8, 10, 7, 0.3, 2, 3, 3), s.rules());
        assertTrue(s.requestsEndpointList() && s.hasFixedSizes());
        assertEquals(LoadReporting.ON_PROBE, s.loadReporting());
    }

    @Test
    void eventsAreRead() {
        assertEquals(
                new Arrival("ab", "read", "red", 9, 2, 0.5, 12, "k", true),
                event("{\"type\":\"ARRIVAL\","
                        + "\"txn\":\"ab\",\"class\":\"read\",\"owner\":\"red\",\"remaining\":9,\"needs\":2,\"mem\":0.5,"
                        + "\"weight_hint\":12,\"name_key\":\"k\",\"repeat\":true,\"is_write\":false,\"novel\":[{}]}"));
        assertEquals(
                new Arrival("ab", "read", null, 9, 1, 0, 0, null, false),
                event("{\"type\":\"ARRIVAL\",\"txn\":\"ab\",\"class\":\"read\",\"owner\":null,\"remaining\":9}"));
        assertEquals(
                new Outcome(
                        "ab",
                        1,
                        "w",
                        AttemptResult.OVERLOADED,
                        3,
                        false,
                        new EndpointLoad(2, Double.NaN, 4, Double.NaN, Double.NaN)),
                event("{\"type\":\"REPLY\",\"txn\":\"ab\",\"seq_no\":1,\"worker\":\"w\",\"disposition\":\"saturated\","
                        + "\"latency\":3,\"settled\":false,\"telemetry\":{\"x0\":2,\"depth\":4.0,\"tps\":1}}"));
        assertEquals(
                new EndpointListFailed(), event("{\"type\":\"ROSTER_CHANGE\",\"scope\":3,\"stamp\":1,\"slot\":0}"));
        assertEquals(new Abandoned("ab"), event("{\"type\":\"VANISHED\",\"txn\":\"ab\"}"));
        assertEquals(
                new StreamStarted("ab", 0),
                event("{\"type\":\"ACCEPTED\",\"txn\":\"ab\",\"seq_no\":0,\"worker\":\"w\",\"latency\":1}"));
        assertEquals(
                new Progress("ab", 0, "w", 0.25),
                event("{\"type\":\"INTERIM\",\"txn\":\"ab\",\"seq_no\":0,\"worker\":\"w\",\"sort\":2,"
                        + "\"amount\":0.25}"));
        assertEquals(new Timer("beat"), event("{\"type\":\"REMINDER\",\"mark\":\"beat\"}"));
    }

    @Test
    void actionsAreWritten() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ReplyWriter reply = new ReplyWriter(new JsonFactory(), out, 7);
        reply.startGroup(4);
        for (Action a : new ArrayList<>(List.of(
                new Dispatch("a", "w", 5),
                new Reject("b", 0),
                new Reject("c", 3),
                new Fail("d"),
                new Cancel("e", 1),
                new Probe("w"),
                new SendToPeer(2, new byte[] {1}),
                new SetTimer("t", 9),
                new Subscribe()))) {
            reply.write(a);
        }
        reply.endGroup();
        reply.endReply();
        assertEquals(
                "{\"batch\":7,\"groups\":[{\"dispatcher_id\":4,\"orders\":["
                        + "{\"type\":\"RELAY\",\"txn\":\"a\",\"worker\":\"w\",\"patience\":5},"
                        + "{\"type\":\"OVERLOAD_REPLY\",\"txn\":\"b\"},{\"type\":\"OVERLOAD_REPLY\","
                        + "\"txn\":\"c\",\"backoff\":3},"
                        + "{\"type\":\"DROP_REQUEST\",\"txn\":\"d\"},{\"type\":\"UNDO_SEND\",\"txn\":\"e\","
                        + "\"seq_no\":1},"
                        + "{\"type\":\"PING\",\"worker\":\"w\"},{\"type\":\"BROADCAST_TO\",\"neighbour_id\":2,"
                        + "\"data\":\"AQ==\"},"
                        + "{\"type\":\"REMIND\",\"wait\":9,\"mark\":\"t\"},{\"type\":\"SUBSCRIBE\","
                        + "\"enable\":true}]}]}\n",
                out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void aBatchIsAnsweredByOneLine() throws IOException {
        String out = serve(
                start(",{\"type\":\"ARRIVAL\",\"txn\":\"ab\",\"class\":\"read\",\"remaining\":5000000000}"),
                "{\"wall\":6,\"batch\":2,\"groups\":[]}",
                "{\"wall\":7,\"batch\":3,\"groups\":[{\"dispatcher_id\":4,\"items\":[{\"type\":\"KILL\"},"
                        + "{\"type\":\"REMINDER\",\"mark\":\"beat\"}]}]}");
        String[] lines = out.split("\n");
        assertEquals(3, lines.length);
        assertTrue(lines[0].contains("\"RELAY\",\"txn\":\"ab\",\"worker\":\"10.0.0.1:90\""), lines[0]);
        assertEquals("{\"batch\":2,\"groups\":[]}", lines[1]);
        assertEquals("{\"batch\":3,\"groups\":[{\"dispatcher_id\":4,\"orders\":[]}]}", lines[2]);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                " ",
                "7",
                "{",
                "[]",
                "{\"wall\":1,\"batch\":1}",
                "{\"wall\":\"x\",\"batch\":1,\"groups\":[]}",
                "{\"wall\":1,\"batch\":1,\"groups\":[]} {}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"items\":[]}]}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"dispatcher_id\":1,\"items\":[{\"type\":\"NOVEL\"}]}]}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"dispatcher_id\":1,\"items\":[{}]}]}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"dispatcher_id\":1,\"items\":[{\"type\":\"ARRIVAL\","
                        + "\"txn\":\"a\"}]}]}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"dispatcher_id\":1,\"items\":[{\"type\":\"MEMO\","
                        + "\"who\":1,\"data\":\"?\"}]}]}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"dispatcher_id\":1,\"items\":"
                        + "[{\"type\":\"ROSTER_CHANGE\",\"scope\":1,\"stamp\":1,\"slot\":9}]}]}"
            })
    void malformedLinesGiveAOneLineError(String line) {
        MalformedMessageException e = assertThrows(MalformedMessageException.class, () -> serve(line));
        assertFalse(e.getMessage().isBlank());
        assertFalse(e.getMessage().contains("\n"));
    }

    @Test
    void invalidSettingsAreNamedInTheError() {
        MalformedMessageException e = assertThrows(
                MalformedMessageException.class, () -> serve(start("").replace("\"rank\":1", "\"rank\":9")));
        assertEquals("setting rank makes no sense: 9", e.getMessage());
    }

    @Test
    void moduleFaultIsReportedInTheReply() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter((settings, seed) -> (now, events) -> {
                    throw new IllegalStateException("simulated module failure");
                })
                .serve(new ByteArrayInputStream(start("").getBytes(StandardCharsets.UTF_8)), out);
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("INTERNAL_ERROR") && text.contains("simulated module failure"), text);
    }
}
