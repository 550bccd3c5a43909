package nettlewick.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import nettlewick.net.format.JsonFields;
import org.junit.jupiter.api.Test;

/** A dispatcher receives what it missed on a silent watch before it counts as notified. */
class WatchStalenessTimerTest {
    /** How a call to discovery may end; only the last outcome delivers a message. */
    private enum CallOutcome {
        CONNECT_TIMEOUT,
        REFUSED,
        NO_RESPONSE,
        IMMEDIATE_RESET,
        PARTIAL_LINE,
        ERROR_STATUS,
        MESSAGE
    }

    private static WatchStalenessTimer agentTimer(long seed) {
        return new WatchStalenessTimer(new PollBackoff(false, 100, 10_000, new SplittableRandom(seed)), 10_000);
    }

    /**
     * Simulates calls after a silence; returns when the first message arrives. A call without a message ends at the
     * deadline of the timer, or at once if it is refused or reset.
     */
    private static double recoveryTime(
            WatchStalenessTimer timer, double silentAt, CallOutcome[] calls, double responseMillis) {
        double now = Math.max(timer.deadline(), silentAt);
        for (CallOutcome call : calls) {
            now += timer.callEnded(now);
            timer.callStarted(now);
            switch (call) {
                case REFUSED, IMMEDIATE_RESET, ERROR_STATUS -> now += 5;
                case PARTIAL_LINE -> {
                    timer.bytesReceived(now + 5);
                    now = timer.deadline();
                }
                case CONNECT_TIMEOUT, NO_RESPONSE -> now = timer.deadline();
                case MESSAGE -> {
                    if (now + responseMillis <= timer.deadline()) {
                        timer.messageReceived(now + responseMillis);
                        return now + responseMillis;
                    }
                    now = timer.deadline();
                }
                default -> throw new AssertionError(call);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Whichever way two calls fail after an agent falls silent, the third recovers in time. */
    @Property(tries = 500, seed = "11")
    void recoversInTimeAfterTwoFailedCalls(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WatchStalenessTimer timer = agentTimer(seed);
        timer.callStarted(0);
        double now = 20;
        timer.messageReceived(now);
        for (int remainingLines = random.nextInt(5); remainingLines > 0; remainingLines--) {
            now += 2000;
            timer.messageReceived(now);
        }
        // The agent falls silent at some time before its next line.
        double silentAt = now + random.nextDouble(2000);
        CallOutcome first = CallOutcome.values()[random.nextInt(CallOutcome.values().length - 1)];
        CallOutcome second = CallOutcome.values()[random.nextInt(CallOutcome.values().length - 1)];
        double recoveredAt = recoveryTime(timer, now, new CallOutcome[] {first, second, CallOutcome.MESSAGE}, 50);
        assertTrue(
                recoveredAt <= now + WatchStalenessTimer.NOTIFIED_AFTER_MILLIS,
                first + ", " + second + ": " + (recoveredAt - now));
        assertTrue(recoveredAt <= silentAt + WatchStalenessTimer.NOTIFIED_AFTER_MILLIS);
    }

    /** Guards against waiting for the rest of a first message until after the dispatcher counts as notified. */
    @Test
    void partOfALineIsNotAMessage() {
        WatchStalenessTimer timer = agentTimer(3);
        timer.callStarted(0);
        timer.bytesReceived(5);
        timer.bytesReceived(2900);
        assertTrue(timer.deadline() <= 3005, "later parts do not extend the deadline: " + timer.deadline());
    }

    /** Guards against abandoning a slow agent in the middle of its list again and again. */
    @Test
    void eventuallyWaitsForASlowAgent() {
        WatchStalenessTimer timer = agentTimer(4);
        timer.callStarted(0);
        timer.messageReceived(10);
        double now = timer.deadline();
        double lastWaitMillis = 0;
        for (int call = 0; call < 3; call++) {
            now += timer.callEnded(now);
            timer.callStarted(now);
            timer.bytesReceived(now + 5);
            lastWaitMillis = timer.deadline() - now;
            now = timer.deadline();
        }
        assertTrue(lastWaitMillis >= 3000, "time for the third call: " + lastWaitMillis);
    }

    /**
     * A hundred dispatchers of one service that are disconnected together spread their calls, and each still recovers
     * before it counts as notified.
     */
    @Test
    void dispatchersDoNotCallASharedServiceAtOnce() {
        double maxWaitMillis = 10_000;
        List<Double> calls = new ArrayList<>();
        for (int d = 0; d < 100; d++) {
            WatchStalenessTimer timer = new WatchStalenessTimer(
                    new PollBackoff(true, 100, maxWaitMillis, new SplittableRandom(d)), maxWaitMillis);
            timer.callStarted(0);
            timer.messageReceived(10);
            double detectedAt = timer.deadline();
            double nextCallAt = detectedAt + timer.callEnded(detectedAt);
            calls.add(nextCallAt);
            assertTrue(
                    nextCallAt + 5000 <= 10 + timer.notifiedAfterMillis(),
                    "a call that waits for its turn is answered in time: " + nextCallAt);
        }
        double firstCallAt = calls.stream().mapToDouble(c -> c).min().orElseThrow();
        for (double windowStart = firstCallAt; windowStart < firstCallAt + 2500; windowStart += 250) {
            double start = windowStart;
            long callsInWindow =
                    calls.stream().filter(c -> c >= start && c < start + 250).count();
            assertTrue(callsInWindow <= 25, callsInWindow + " calls from " + windowStart);
        }
    }

    /** While a service is unreachable, each dispatcher calls it less and less often. */
    @Test
    void callsBackOffWhileTheServiceIsUnreachable() {
        WatchStalenessTimer timer =
                new WatchStalenessTimer(new PollBackoff(true, 8, 20_000, new SplittableRandom(5)), 20_000);
        double now = 0;
        int earlyCalls = 0;
        int lateCalls = 0;
        while (now < 120_000) {
            timer.callStarted(now);
            now += 5;
            earlyCalls += now < 10_000 ? 1 : 0;
            lateCalls += now >= 110_000 ? 1 : 0;
            now += timer.callEnded(now);
        }
        assertTrue(lateCalls < earlyCalls && lateCalls <= 6, earlyCalls + " calls at first, " + lateCalls + " later");
    }

    @Test
    void movedServiceGetsTheFullFirstMessageTimeout() {
        WatchStalenessTimer timer = agentTimer(9);
        timer.callStarted(0);
        timer.messageReceived(10);
        timer.callStarted(5000);
        assertEquals(5700, timer.deadline());
        timer.addressChanged();
        timer.callStarted(6000);
        assertEquals(7500, timer.deadline());
    }

    private static List<String> frameInPieces(String text, int pieceLength) {
        JsonObjectFramer framer = new JsonObjectFramer();
        List<String> objects = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < bytes.length; start += pieceLength) {
            framer.feed(Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + pieceLength)), objects::add);
        }
        return objects;
    }

    /** Guards against splitting indented lists by lines, which would break every watch permanently. */
    @Test
    void framesIndentedObjectsSplitAtAnyByte() {
        String one = "{\n  \"seq\": 1,\n  \"hosts\": [\n    {\"host\": \"a{\\\"}\u00e9\"}\n  ]\n}";
        String two = "{\"seq\":2,\"hosts\":[]}";
        for (int pieceLength = 1; pieceLength < 40; pieceLength++) {
            assertEquals(
                    List.of(one, two),
                    frameInPieces("\n  " + one + "\r\n\n" + two + "\n\n", pieceLength),
                    "pieces of " + pieceLength);
        }
        assertEquals(List.of(), frameInPieces(one.substring(0, one.length() - 1), 7));
        assertThrows(JsonFields.InvalidFieldException.class, () -> frameInPieces("<html>", 3));
    }

    @Test
    void emptyLineIsAMessageAndPartOfAnObjectIsNot() {
        JsonObjectFramer framer = new JsonObjectFramer();
        assertTrue(framer.feed("\n".getBytes(StandardCharsets.UTF_8), o -> {}));
        assertTrue(!framer.feed("{\n\n".getBytes(StandardCharsets.UTF_8), o -> {}));
        assertTrue(framer.feed("}".getBytes(StandardCharsets.UTF_8), o -> {}));
    }
}
