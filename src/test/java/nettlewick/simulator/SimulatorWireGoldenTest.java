package nettlewick.simulator;

import static nettlewick.golden.GoldenFile.assertMatches;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettlewick.decision.Action.Cancel;
import org.junit.jupiter.api.Test;

/** Compares the replies to simulator batches, and the errors for malformed lines, with golden files. */
class SimulatorWireGoldenTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** An order that the simulator reacts to: its type and its first two fields. */
    private static final Pattern ORDER = Pattern.compile("\\{\"type\":\"(RELAY|PING|BROADCAST_TO|REMIND)\","
            + "\"\\w+\":\"?([^\",}]+)\"?(?:,\"\\w+\":\"?([^\",}]+))?");
    /** An endpoint that stops responding, so that its requests time out. */
    private static final String UNRESPONSIVE_WORKER = "10.0.0.0:90";
    /** Makes endpoints report progress periodically, so that one that stops can be detected. */
    private static final String PROGRESS_SETUP =
            "\"family_info\":{\"class_kind\":[-1,0,0],\"class_stretch\":[2.0,2.5,2.5],"
                    + "\"class_priority\":[0,1,0],\"progress\":10000000},";

    private static final String SETUP = """
            {"fleet_size":2,"rank":%RANK%,"zone":"north","zones":["north"],"models":["box"],"novel":{"x":[1]},\
            "classes":[{"name":"read","repeat":"retryable","aim":200000000,"deadline":5000000000,"worth":2.0},\
            {"name":"keyed","repeat":"dedup","dedup_scope":"cell","window":1000000000,"aim":200000000,\
            "deadline":5000000000},{"name":"mark","repeat":"fragile","aim":200000000,"deadline":5000000000}],\
            "tenants":[{"name":"red","fraction":1.0,"quota_per_s":40.5}],\
            "report":{"source":"on_probe","names":["x0"]},"membership_mode":"%MODE%","weights":"nominal",\
            "ceilings":{"attempts_cap":3,"cancel":true,"peers":true,"probes":true,"retry_after":true,\
            "second_copies":true,"max_retry_after":2000000000},\
            "rules":{"answer_slack":8000000,"ask_within":1000000000,"cold":7000000000,"cold_share":0.3,\
            "drain_grace":2000000000,"fall":1000000000,"overload_factor":3.0}}""";

    /** A batch for instance 4, or for instances 4 and 5. */
    private static String line(long millis, int batch, String... groups) {
        StringBuilder text =
                new StringBuilder("{\"wall\":" + millis * NANOS_PER_MILLI + ",\"batch\":" + batch + ",\"groups\":[");
        for (int i = 0; i < groups.length; i++) {
            text.append(i > 0 ? "," : "")
                    .append("{\"dispatcher_id\":")
                    .append(4 + i)
                    .append(",\"items\":[")
                    .append(groups[i])
                    .append("]}");
        }
        return text + "]}";
    }

    private static String start(int rank, String mode) {
        StringBuilder elements = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            elements.append(i > 0 ? "," : "")
                    .append("{\"worker\":\"10.0.0.")
                    .append(i)
                    .append(":90\",\"lifecycle\":0,")
                    .append("\"started_at\":null,\"cohort\":")
                    .append(i)
                    .append(",\"generation_hw\":\"box\",")
                    .append("\"campus\":\"north\",\"size\":1.5}");
        }
        return "{\"type\":\"LEDGER\",\"slot\":0,\"elements\":[" + elements + "]},"
                + "{\"type\":\"NEW_INSTANCE\",\"init_seed\":18446744073709551615,\"setup\":"
                + SETUP.replace("%RANK%", Integer.toString(rank)).replace("%MODE%", mode) + "},"
                + "{\"type\":\"ROSTER_CHANGE\",\"scope\":2,\"stamp\":1,\"slot\":0}";
    }

    private static String arrival(String id, String requestClass, String extraFields) {
        return "{\"type\":\"ARRIVAL\",\"txn\":\"" + id + "\",\"class\":\"" + requestClass
                + "\",\"owner\":\"red\",\"remaining\":5000000000" + extraFields + "}";
    }

    private static String reply(String id, int attempt, String worker, String disposition) {
        return "{\"type\":\"REPLY\",\"txn\":\"" + id + "\",\"seq_no\":" + attempt + ",\"worker\":\"" + worker
                + "\",\"disposition\":\"" + disposition + "\",\"latency\":3000000,\"settled\":false,"
                + "\"telemetry\":{\"x0\":2,\"depth\":4.0}}";
    }

    private static String timer(String mark) {
        return "{\"type\":\"REMINDER\",\"mark\":\"" + mark + "\"}";
    }

    private static List<String> lines(String mode) {
        String read = arrival("r1", "read", ",\"needs\":2,\"mem\":0.5,\"weight_hint\":12");
        return List.of(
                line(5, 1, start(0, mode), start(1, mode)),
                line(
                        6,
                        2,
                        read + "," + arrival("k1", "keyed", ",\"name_key\":\"k\""),
                        arrival("m1", "mark", ",\"repeat\":true,\"is_write\":true,\"novel\":[{}]")),
                line(7, 3),
                line(
                        9,
                        4,
                        "{\"type\":\"ACCEPTED\",\"txn\":\"r1\",\"seq_no\":0,\"worker\":\"10.0.0.0:90\",\"latency\":1},"
                                + "{\"type\":\"INTERIM\",\"txn\":\"r1\",\"seq_no\":0,\"worker\":\"10.0.0.0:90\","
                                + "\"sort\":2,"
                                + "\"amount\":0.25}",
                        "{\"type\":\"VANISHED\",\"txn\":\"m1\"}"),
                line(
                        12,
                        5,
                        reply("r1", 0, "10.0.0.0:90", "saturated") + "," + reply("r1", 0, "10.0.0.1:90", "saturated")
                                + "," + reply("r1", 0, "10.0.0.2:90", "saturated"),
                        timer("beat")),
                line(
                        60,
                        6,
                        timer("beat") + "," + arrival("r2", "read", "") + "," + arrival("r3", "read", ""),
                        "{\"type\":\"ROSTER_CHANGE\",\"scope\":3,\"stamp\":2,\"slot\":0}"),
                line(500, 7, timer("beat") + "," + timer("unknown"), timer("beat")),
                line(3000, 8, timer("beat") + "," + arrival("m2", "mark", ""), arrival("r4", "read", "")),
                line(3001, 9, "{\"type\":\"KILL\"}," + arrival("r5", "read", ""), timer("beat")));
    }

    private static String serve(List<String> lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter()
                .serve(
                        new ByteArrayInputStream((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8)),
                        out);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void exchangeWithPushedEndpointList() throws IOException {
        assertExchangeMatchesGolden("pushed");
    }

    @Test
    void exchangeWithEndpointListOnRequest() throws IOException {
        assertExchangeMatchesGolden("on_request");
    }

    private static void assertExchangeMatchesGolden(String mode) throws IOException {
        StringBuilder text = new StringBuilder();
        String[] answers = serve(lines(mode)).split("(?<=\n)");
        for (int i = 0; i < answers.length; i++) {
            text.append("> ").append(lines(mode).get(i)).append("\n< ").append(answers[i]);
        }
        assertMatches("wire/simulator-" + mode + ".txt", text.toString());
    }

    /** Simulates two instances whose orders are answered some batches later, and records all lines in and out. */
    private static final class Exchange {
        private static final String[] DISPOSITIONS = {
            "completed",
            "saturated",
            "errored",
            "overdue",
            "completed",
            "refused_conn",
            "severed",
            "recalled",
            "superseded"
        };
        private static final String[] CLASSES = {"read", "keyed", "mark"};

        private final SimulatorAdapter adapter = new SimulatorAdapter();
        private final StringBuilder text = new StringBuilder();
        private final TreeMap<Long, List<List<String>>> itemsByTime = new TreeMap<>();
        private final Map<String, Integer> attemptCounts = new HashMap<>();
        private int relayCount;

        private void scheduleArrivals() {
            add(itemsByTime, 5, 0, start(0, "on_request").replace("\"report\"", PROGRESS_SETUP + "\"report\""));
            add(itemsByTime, 5, 1, start(1, "on_request").replace("\"report\"", PROGRESS_SETUP + "\"report\""));
            for (int i = 0; i < 90; i++) {
                String extraFields = i % 3 == 1 ? ",\"name_key\":\"k" + i % 5 + "\"" : ",\"weight_hint\":" + 1000 * i;
                add(itemsByTime, 10 + 4L * i, i % 2, arrival("t" + i, CLASSES[i % 3], extraFields));
                if (i % 10 == 7 || i % 10 == 2) {
                    add(itemsByTime, 15 + 4L * i, i % 2, "{\"type\":\"VANISHED\",\"txn\":\"t" + i + "\"}");
                }
            }
        }

        private String run() throws IOException {
            scheduleArrivals();
            for (int batch = 1; batch <= 300 && !itemsByTime.isEmpty(); batch++) {
                long now = itemsByTime.firstKey();
                List<List<String>> items = itemsByTime.remove(now);
                String line = line(now, batch, String.join(",", items.get(0)), String.join(",", items.get(1)));
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                adapter.serve(new ByteArrayInputStream((line + "\n").getBytes(StandardCharsets.UTF_8)), out);
                String answer = out.toString(StandardCharsets.UTF_8);
                text.append("> ").append(line).append("\n< ").append(answer);
                int secondGroupStart = answer.indexOf("{\"dispatcher_id\":5");
                Matcher order = ORDER.matcher(answer);
                while (order.find()) {
                    scheduleResult(
                            now,
                            order.start() > secondGroupStart ? 1 : 0,
                            order.group(1),
                            order.group(2),
                            order.group(3));
                }
            }
            return text.toString();
        }

        private void scheduleResult(long now, int instance, String type, String first, String last) {
            switch (type) {
                case "RELAY" -> answerRelay(now, instance, first, last);
                case "PING" -> answerProbe(now, instance, first);
                case "BROADCAST_TO" ->
                    add(
                            itemsByTime,
                            now + 1,
                            1 - instance,
                            "{\"type\":\"MEMO\",\"who\":" + instance + ",\"data\":\"" + last + "\"}");
                default ->
                    add(itemsByTime, now + Math.max(1, Long.parseLong(first) / NANOS_PER_MILLI), instance, timer(last));
            }
        }

        private void answerRelay(long now, int instance, String id, String endpoint) {
            int attempt = attemptCounts.merge(id, 1, Integer::sum) - 1;
            String result = DISPOSITIONS[relayCount++ % DISPOSITIONS.length];
            String attemptFields = "\"txn\":\"" + id + "\",\"seq_no\":" + attempt + ",\"worker\":\"" + endpoint + "\"";
            if (relayCount % 3 == 0) {
                add(itemsByTime, now + 2, instance, "{\"type\":\"ACCEPTED\"," + attemptFields + ",\"latency\":1}");
            }
            add(itemsByTime, now + 1, instance, "{\"type\":\"INTERIM\"," + attemptFields + ",\"sort\":2,\"amount\":0}");
            add(
                    itemsByTime,
                    now + (isUnresponsive(now, endpoint) ? 3000 : 9),
                    instance,
                    reply(id, attempt, endpoint, result));
        }

        private void answerProbe(long now, int instance, String endpoint) {
            boolean unresponsive = isUnresponsive(now, endpoint);
            String answer = "{\"type\":\"HEALTH\",\"worker\":\"" + endpoint + "\",\"disposition\":\""
                    + (unresponsive ? "overdue" : "completed")
                    + "\",\"latency\":2000000,\"telemetry\":{\"x0\":1,\"concurrent\":2}}";
            add(itemsByTime, now + (unresponsive ? 100 : 3), instance, answer);
        }

        private static boolean isUnresponsive(long now, String endpoint) {
            return now > 40 && UNRESPONSIVE_WORKER.equals(endpoint);
        }
    }

    /**
     * Simulates two instances: forwarded requests are answered some batches later with each disposition in turn, timers
     * fire when they are due, peer messages reach the other instance, and probes are answered. One endpoint stops
     * responding.
     */
    @Test
    void simulatedExchangeMatchesGolden() throws IOException {
        String text = new Exchange().run();
        for (String kind :
                List.of("RELAY", "OVERLOAD_REPLY", "DROP_REQUEST", "PING", "BROADCAST_TO", "REMIND", "SUBSCRIBE")) {
            assertTrue(text.indexOf("{\"type\":\"" + kind + "\"") > 0, kind + " does not occur");
        }
        assertMatches("wire/simulator-played.txt", text);
    }

    /** Covers the one order that the simulated exchange does not produce, with a module that returns only this one. */
    @Test
    void cancelActionIsWritten() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(
                        (settings, seed) -> (now, events) -> List.of(new Cancel("e", 1), new Cancel("\"\u00e9", 12)))
                .serve(new ByteArrayInputStream(line(5, 1, start(0, "pushed")).getBytes(StandardCharsets.UTF_8)), out);
        assertMatches("wire/simulator-call-off.txt", out.toString(StandardCharsets.UTF_8));
    }

    private static void add(TreeMap<Long, List<List<String>>> itemsByTime, long at, int instance, String item) {
        itemsByTime
                .computeIfAbsent(at, t -> List.of(new ArrayList<>(), new ArrayList<>()))
                .get(instance)
                .add(item);
    }

    @Test
    void malformedLinesAreReported() {
        String validLine = line(5, 1, start(0, "pushed"));
        StringBuilder text = new StringBuilder();
        for (String line : List.of(
                "",
                " ",
                "7",
                "{",
                "[]",
                "{\"wall\":1,\"batch\":1}",
                "{\"wall\":\"x\",\"batch\":1,\"groups\":[]}",
                line(1, 1) + " {}",
                "{\"wall\":1,\"batch\":1,\"groups\":[{\"items\":[]}]}",
                line(1, 1, "{\"type\":\"NOVEL\"}"),
                line(1, 1, "{}"),
                line(1, 1, "{\"type\":\"ARRIVAL\",\"txn\":\"a\"}"),
                line(1, 1, "{\"type\":\"MEMO\",\"who\":1,\"data\":\"?\"}"),
                line(1, 1, "{\"type\":\"ROSTER_CHANGE\",\"scope\":1,\"stamp\":1,\"slot\":9}"),
                line(1, 1, reply("a", 0, "w", "strange")),
                validLine.replace("\"rank\":0", "\"rank\":9"),
                validLine.replace("retryable", "sometimes"),
                validLine.replace("\"fleet_size\":2", "\"fleet_size\":0"),
                validLine.replace("\"attempts_cap\":3,", ""),
                validLine.replace("\"lifecycle\":0", "\"lifecycle\":17"))) {
            text.append("> ").append(line.length() > 200 ? "a line of " + line.length() + " characters" : line);
            try {
                text.append("\n< ").append(serve(List.of(line)));
            } catch (IOException | RuntimeException e) {
                // Only the message is compared, since the exception's class name is not part of the protocol.
                text.append("\n! ").append(e.getMessage()).append('\n');
            }
        }
        assertMatches("wire/simulator-bad-lines.txt", text.toString());
    }
}
