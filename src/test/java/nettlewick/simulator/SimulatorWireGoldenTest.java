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

/** Lines of the simulator and the lines that answer them, and what is said of lines that cannot be read. */
class SimulatorWireGoldenTest {
    private static final long MS = 1_000_000;
    /** An order that something follows from: its kind, and its first two fields. */
    private static final Pattern ORDER = Pattern.compile("\\{\"type\":\"(RELAY|PING|BROADCAST_TO|REMIND)\","
            + "\"\\w+\":\"?([^\",}]+)\"?(?:,\"\\w+\":\"?([^\",}]+))?");
    /** A worker that falls silent, so that its requests are waited for in vain. */
    private static final String SILENT = "10.0.0.0:90";
    /** Workers report progress this often, so that one that does not is noticed. */
    private static final String PROGRESS = "\"family_info\":{\"class_kind\":[-1,0,0],\"class_stretch\":[2.0,2.5,2.5],"
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

    /** A line for the simulator's instance 4, or for 4 and 5. */
    private static String line(long millis, int batch, String... groups) {
        StringBuilder text = new StringBuilder("{\"wall\":" + millis * MS + ",\"batch\":" + batch + ",\"groups\":[");
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

    private static String arrival(String id, String jobClass, String more) {
        return "{\"type\":\"ARRIVAL\",\"txn\":\"" + id + "\",\"class\":\"" + jobClass
                + "\",\"owner\":\"red\",\"remaining\":5000000000" + more + "}";
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
    void roundsWithAPushedList() throws IOException {
        rounds("pushed");
    }

    @Test
    void roundsWithAListThatIsAskedFor() throws IOException {
        rounds("on_request");
    }

    private static void rounds(String mode) throws IOException {
        StringBuilder text = new StringBuilder();
        String[] answers = serve(lines(mode)).split("(?<=\n)");
        for (int i = 0; i < answers.length; i++) {
            text.append("> ").append(lines(mode).get(i)).append("\n< ").append(answers[i]);
        }
        assertMatches("wire/simulator-" + mode + ".txt", text.toString());
    }

    /** Two instances whose orders are answered some rounds later; all lines in and out are noted. */
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

        private final SimulatorAdapter host = new SimulatorAdapter();
        private final StringBuilder text = new StringBuilder();
        private final TreeMap<Long, List<List<String>>> due = new TreeMap<>();
        private final Map<String, Integer> attempts = new HashMap<>();
        private int relays;

        private void schedule() {
            add(due, 5, 0, start(0, "on_request").replace("\"report\"", PROGRESS + "\"report\""));
            add(due, 5, 1, start(1, "on_request").replace("\"report\"", PROGRESS + "\"report\""));
            for (int i = 0; i < 90; i++) {
                String more = i % 3 == 1 ? ",\"name_key\":\"k" + i % 5 + "\"" : ",\"weight_hint\":" + 1000 * i;
                add(due, 10 + 4L * i, i % 2, arrival("t" + i, CLASSES[i % 3], more));
                if (i % 10 == 7 || i % 10 == 2) {
                    add(due, 15 + 4L * i, i % 2, "{\"type\":\"VANISHED\",\"txn\":\"t" + i + "\"}");
                }
            }
        }

        private String play() throws IOException {
            schedule();
            for (int batch = 1; batch <= 300 && !due.isEmpty(); batch++) {
                long now = due.firstKey();
                List<List<String>> items = due.remove(now);
                String line = line(now, batch, String.join(",", items.get(0)), String.join(",", items.get(1)));
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                host.serve(new ByteArrayInputStream((line + "\n").getBytes(StandardCharsets.UTF_8)), out);
                String answer = out.toString(StandardCharsets.UTF_8);
                text.append("> ").append(line).append("\n< ").append(answer);
                int second = answer.indexOf("{\"dispatcher_id\":5");
                Matcher order = ORDER.matcher(answer);
                while (order.find()) {
                    obey(now, order.start() > second ? 1 : 0, order.group(1), order.group(2), order.group(3));
                }
            }
            return text.toString();
        }

        private void obey(long now, int instance, String type, String first, String last) {
            switch (type) {
                case "RELAY" -> answerRelay(now, instance, first, last);
                case "PING" -> answerProbe(now, instance, first);
                case "BROADCAST_TO" ->
                    add(
                            due,
                            now + 1,
                            1 - instance,
                            "{\"type\":\"MEMO\",\"who\":" + instance + ",\"data\":\"" + last + "\"}");
                default -> add(due, now + Math.max(1, Long.parseLong(first) / MS), instance, timer(last));
            }
        }

        private void answerRelay(long now, int instance, String id, String endpoint) {
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            String result = DISPOSITIONS[relays++ % DISPOSITIONS.length];
            String about = "\"txn\":\"" + id + "\",\"seq_no\":" + attempt + ",\"worker\":\"" + endpoint + "\"";
            if (relays % 3 == 0) {
                add(due, now + 2, instance, "{\"type\":\"ACCEPTED\"," + about + ",\"latency\":1}");
            }
            add(due, now + 1, instance, "{\"type\":\"INTERIM\"," + about + ",\"sort\":2,\"amount\":0}");
            add(due, now + (isSilent(now, endpoint) ? 3000 : 9), instance, reply(id, attempt, endpoint, result));
        }

        private void answerProbe(long now, int instance, String endpoint) {
            boolean silent = isSilent(now, endpoint);
            String answer = "{\"type\":\"HEALTH\",\"worker\":\"" + endpoint + "\",\"disposition\":\""
                    + (silent ? "overdue" : "completed")
                    + "\",\"latency\":2000000,\"telemetry\":{\"x0\":1,\"concurrent\":2}}";
            add(due, now + (silent ? 100 : 3), instance, answer);
        }

        private static boolean isSilent(long now, String endpoint) {
            return now > 40 && SILENT.equals(endpoint);
        }
    }

    /**
     * Plays two instances: a relayed request is answered some rounds later, each disposition in its turn, timers come
     * when they are due, memos reach the other instance, and probes are answered. One endpoint falls silent.
     */
    @Test
    void aPlayedExchange() throws IOException {
        String text = new Exchange().play();
        for (String kind :
                List.of("RELAY", "OVERLOAD_REPLY", "DROP_REQUEST", "PING", "BROADCAST_TO", "REMIND", "SUBSCRIBE")) {
            assertTrue(text.indexOf("{\"type\":\"" + kind + "\"") > 0, kind + " was not played");
        }
        assertMatches("wire/simulator-played.txt", text);
    }

    /** The order that the played exchange does not bring about, from a module that gives nothing else. */
    @Test
    void anAttemptIsCalledOff() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(
                        (settings, seed) -> (now, events) -> List.of(new Cancel("e", 1), new Cancel("\"\u00e9", 12)))
                .serve(new ByteArrayInputStream(line(5, 1, start(0, "pushed")).getBytes(StandardCharsets.UTF_8)), out);
        assertMatches("wire/simulator-call-off.txt", out.toString(StandardCharsets.UTF_8));
    }

    private static void add(TreeMap<Long, List<List<String>>> due, long at, int instance, String item) {
        due.computeIfAbsent(at, t -> List.of(new ArrayList<>(), new ArrayList<>()))
                .get(instance)
                .add(item);
    }

    @Test
    void badLines() {
        String good = line(5, 1, start(0, "pushed"));
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
                good.replace("\"rank\":0", "\"rank\":9"),
                good.replace("retryable", "sometimes"),
                good.replace("\"fleet_size\":2", "\"fleet_size\":0"),
                good.replace("\"attempts_cap\":3,", ""),
                good.replace("\"lifecycle\":0", "\"lifecycle\":17"))) {
            text.append("> ").append(line.length() > 200 ? "a line of " + line.length() + " characters" : line);
            try {
                text.append("\n< ").append(serve(List.of(line)));
            } catch (IOException | RuntimeException e) {
                // The message alone is printed; the name of its type is not part of the format.
                text.append("\n! ").append(e.getMessage()).append('\n');
            }
        }
        assertMatches("wire/simulator-bad-lines.txt", text.toString());
    }
}
