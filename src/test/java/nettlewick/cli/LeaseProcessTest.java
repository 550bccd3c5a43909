package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettlewick.stubs.StubPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Five real dispatcher processes, three of them voters, maintain one lease through kills, pauses and partitions. */
@Timeout(180)
class LeaseProcessTest {
    private static final int DISPATCHERS = 5;
    private static final int VOTERS = 3;
    private static final Pattern HELD =
            Pattern.compile("\"event\":\"duty-held\".*\"fence\":\"?(\\d+).*\"term\":\"?(\\d+)");

    @TempDir
    private Path dir;

    private final Process[] processes = new Process[DISPATCHERS];
    private final List<Path> allLogs = new ArrayList<>();
    private final Path[] currentLogs = new Path[DISPATCHERS];
    private final int[] ports = new int[DISPATCHERS];
    private boolean persistentVoters;
    /** The dispatcher that is configured with a different voter list; -1 if none. */
    private int misconfigured = -1;
    /** The port at which the others reach each dispatcher: its own or that of a relay. */
    private final int[] advertisedPorts = new int[DISPATCHERS];

    private void start(int number, Map<String, Object> config) throws IOException {
        StringBuilder settingsText = new StringBuilder(
                "log {\nform json\n}\nduty {\nlisten 127.0.0.1:" + ports[number] + "\nnumber " + number + "\nvoters "
                        + (number == misconfigured ? DISPATCHERS : VOTERS) + "\n"
                        + "lease 1s\nkey \"" + dir.resolve("key") + "\"\nname pool-red\n"
                        + (persistentVoters ? "folder \"" + dir.resolve("voter" + number) + "\"\n" : ""));
        for (int port : advertisedPorts) {
            settingsText.append("dispatcher 127.0.0.1:").append(port).append('\n');
        }
        Path settingsFile = Files.writeString(dir.resolve("settings" + number), settingsText + "}\n");
        Path configFile = Files.writeString(dir.resolve("config" + number), new Gson().toJson(config));
        currentLogs[number] = dir.resolve("log" + allLogs.size());
        Files.createFile(currentLogs[number]);
        allLogs.add(currentLogs[number]);
        processes[number] = ChildProcess.start(
                currentLogs[number],
                Map.of("ROUTER_CONFIG", configFile.toString()),
                "serve",
                "--settings",
                settingsFile.toString());
    }

    private static boolean hasLogged(Path log, String event) {
        try {
            return Files.readString(log).contains("\"event\":\"" + event + "\"");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long count(Path log, String event) {
        try {
            return Files.readAllLines(log).stream()
                    .filter(l -> l.contains("\"event\":\"" + event + "\""))
                    .count();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The fence of each lease term that was held according to a log. */
    private static Map<Long, Long> fencesByTerm(Path log) {
        try {
            Map<Long, Long> fences = new TreeMap<>();
            for (String line : Files.readAllLines(log)) {
                Matcher matcher = HELD.matcher(line);
                if (matcher.find()) {
                    fences.put(Long.parseLong(matcher.group(2)), Long.parseLong(matcher.group(1)));
                }
            }
            return fences;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a process holds the lease for the given term or a later one, and returns its number. */
    private int awaitHolder(long term, int excluded) throws InterruptedException {
        int[] found = {-1};
        StubPlatform.waitUntil(() -> {
            long newestTerm = term - 1;
            for (int n = 0; n < DISPATCHERS; n++) {
                for (long t : n == excluded
                        ? List.<Long>of()
                        : fencesByTerm(currentLogs[n]).keySet()) {
                    found[0] = t > newestTerm ? n : found[0];
                    newestTerm = Math.max(newestTerm, t);
                }
            }
            return found[0] >= 0;
        });
        return found[0];
    }

    @Test
    void aLeaseSurvivesAKillAPauseAndAGracefulShutdown() throws Exception {
        reservePorts();
        System.arraycopy(ports, 0, advertisedPorts, 0, DISPATCHERS);
        try (StubPlatform platform = new StubPlatform()) {
            platform.addEndpoint("s-1");
            startAll(platform);
            int first = awaitHolder(1, -1);
            processes[first].destroyForcibly().waitFor();
            int second = awaitHolder(2, first);
            restart(platform, first);
            int third = pauseUntilReplaced(second, 3);
            processes[third].destroy();
            processes[third].waitFor();
            awaitHolder(4, third);
        }
        assertFencesGrow(4);
    }

    /** A dispatcher configured with five voters, while the others have three, neither votes nor holds the lease. */
    @Test
    void aDispatcherWithAnotherVoterListHoldsNothingAndHindersNobody() throws Exception {
        misconfigured = DISPATCHERS - 1;
        reservePorts();
        System.arraycopy(ports, 0, advertisedPorts, 0, DISPATCHERS);
        try (StubPlatform platform = new StubPlatform()) {
            platform.addEndpoint("s-1");
            startAll(platform);
            int first = awaitHolder(1, -1);
            StubPlatform.waitUntil(() ->
                    hasLogged(currentLogs[misconfigured], "other-list") && hasLogged(currentLogs[first], "other-list"));
            processes[first].destroyForcibly().waitFor();
            int second = awaitHolder(2, first);
            restart(platform, first);
            pauseUntilReplaced(second, 3);
        }
        assertEquals(0, count(currentLogs[misconfigured], "duty-held"));
        assertEquals(0, count(currentLogs[misconfigured], "votes"));
        assertFencesGrow(3);
    }

    /** With persistent voters, a fleet that is killed at once restarts with later terms and higher fences. */
    @Test
    void aFleetThatLosesPowerContinuesFromStoredTerms() throws Exception {
        persistentVoters = true;
        reservePorts();
        System.arraycopy(ports, 0, advertisedPorts, 0, DISPATCHERS);
        try (StubPlatform platform = new StubPlatform()) {
            platform.addEndpoint("s-1");
            startAll(platform);
            int first = awaitHolder(1, -1);
            processes[first].destroyForcibly().waitFor();
            awaitHolder(2, first);
            for (Process p : processes) {
                p.destroyForcibly().waitFor();
            }
            startAll(platform);
            awaitHolder(3, -1);
        }
        assertFencesGrow(3);
    }

    /** Partitions, lost, duplicated and reordered datagrams, and a restart of every voter without memory. */
    @Test
    void aLeaseSurvivesPartitionsAndVotersWithoutMemory() throws Exception {
        reservePorts();
        try (DatagramRelay relay = new DatagramRelay(ports, 11);
                StubPlatform platform = new StubPlatform()) {
            System.arraycopy(relay.ports(), 0, advertisedPorts, 0, DISPATCHERS);
            platform.addEndpoint("s-1");
            relay.setFaults(0.3, 0.1);
            startAll(platform);
            int first = awaitHolder(1, -1);
            relay.blockSender(first);
            awaitHolder(2, first);
            StubPlatform.waitUntil(() -> hasLogged(currentLogs[first], "duty-lost"));
            relay.blockSender(-1);
            relay.setFaults(0.1, 0.1);
            for (int voter = 0; voter < VOTERS; voter++) {
                processes[voter].destroyForcibly().waitFor();
                restart(platform, voter);
            }
            long newestTerm = allFencesByTerm().lastKey();
            int isolatedHolder = awaitHolder(newestTerm, -1);
            // Whoever holds the lease, its side has two of five dispatchers and one of three voters.
            relay.partition(Set.of(isolatedHolder, isolatedHolder < VOTERS ? 4 : 0));
            int newHolder = awaitHolder(newestTerm + 1, isolatedHolder);
            // A lost datagram may have cost it the lease before the partition.
            StubPlatform.waitUntil(() ->
                    count(currentLogs[isolatedHolder], "duty-lost") >= count(currentLogs[isolatedHolder], "duty-held"));
            relay.partition(Set.of());
            processes[newHolder].destroyForcibly().waitFor();
            awaitHolder(newestTerm + 2, newHolder);
            assertTrue(relay.lostCount() > 0 && relay.duplicatedCount() > 0, "the relay lost and duplicated datagrams");
        }
        assertFencesGrow(3);
    }

    private void reservePorts() throws IOException {
        Files.write(dir.resolve("key"), new byte[32]);
        List<DatagramSocket> sockets = new ArrayList<>();
        for (int n = 0; n < DISPATCHERS; n++) {
            sockets.add(new DatagramSocket(0, InetAddress.getByName("127.0.0.1")));
            ports[n] = sockets.get(n).getLocalPort();
        }
        sockets.forEach(DatagramSocket::close);
    }

    private static Map<String, Object> config(StubPlatform platform, int number) {
        Map<String, Object> config = new LinkedHashMap<>(platform.config());
        config.put("name", "n" + number);
        return config;
    }

    /** Pauses the holder until another dispatcher holds the lease for the given term, and returns its number. */
    private int pauseUntilReplaced(int paused, long term) throws Exception {
        signal(paused, "-STOP");
        int next = awaitHolder(term, paused);
        signal(paused, "-CONT");
        StubPlatform.waitUntil(() -> hasLogged(currentLogs[paused], "duty-lost"));
        return next;
    }

    /** Restarts a dispatcher without memory; if it is a voter, waits until it votes again. */
    private void restart(StubPlatform platform, int number) throws Exception {
        start(number, config(platform, number));
        if (number < VOTERS) {
            StubPlatform.waitUntil(() -> hasLogged(currentLogs[number], "votes"));
        }
    }

    /**
     * Starts all dispatchers and waits until all voters vote; a voter that has not heard from the others counts as
     * failed.
     */
    private void startAll(StubPlatform platform) throws Exception {
        for (int n = 0; n < DISPATCHERS; n++) {
            start(n, config(platform, n));
        }
        for (int voter = 0; voter < VOTERS; voter++) {
            Path voterLog = currentLogs[voter];
            StubPlatform.waitUntil(() -> hasLogged(voterLog, "votes"));
        }
    }

    /** The fence of each term in all logs; fails if a term was held twice. */
    private TreeMap<Long, Long> allFencesByTerm() {
        TreeMap<Long, Long> fences = new TreeMap<>();
        for (Path processLog : allLogs) {
            fencesByTerm(processLog)
                    .forEach((term, fence) ->
                            assertEquals(null, fences.put(term, fence), "two dispatchers held term " + term));
        }
        return fences;
    }

    private void assertFencesGrow(int minTerms) {
        TreeMap<Long, Long> fences = allFencesByTerm();
        assertTrue(fences.size() >= minTerms, "terms " + fences.keySet());
        assertEquals(
                new ArrayList<>(fences.values()),
                fences.values().stream().sorted().distinct().toList(),
                "fences increase from term to term");
    }

    private void signal(int number, String signal) throws Exception {
        new ProcessBuilder("kill", signal, Long.toString(processes[number].pid()))
                .start()
                .waitFor();
    }

    @AfterEach
    void killProcesses() {
        for (Process p : processes) {
            if (p != null) {
                p.destroyForcibly();
            }
        }
    }
}
