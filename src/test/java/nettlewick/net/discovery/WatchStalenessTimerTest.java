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

/** The clock of the list: what is missed on a silent watch is had before it counts as told. */
class WatchStalenessTimerTest {
    /** How a call to discovery may go; all but the last bring no word. */
    private enum Call {
        NEVER_CONNECTS,
        REFUSED,
        NO_ANSWER,
        RESET_AT_ONCE,
        HALF_A_LINE,
        STATUS,
        ANSWERS
    }

    private static WatchStalenessTimer agent(long seed) {
        return new WatchStalenessTimer(new PollBackoff(false, 100, 10_000, new SplittableRandom(seed)), 10_000);
    }

    /**
     * Plays calls from a silence on; when the first word after it comes. A call that brings nothing is over at
     * the clock's deadline, or at once where it is refused or reset.
     */
    private static double recoveryTime(WatchStalenessTimer timer, double silentAt, Call[] calls, double wait) {
        double now = Math.max(timer.deadline(), silentAt);
        for (Call call : calls) {
            now += timer.callEnded(now);
            timer.callStarted(now);
            switch (call) {
                case REFUSED, RESET_AT_ONCE, STATUS -> now += 5;
                case HALF_A_LINE -> {
                    timer.bytesReceived(now + 5);
                    now = timer.deadline();
                }
                case NEVER_CONNECTS, NO_ANSWER -> now = timer.deadline();
                case ANSWERS -> {
                    if (now + wait <= timer.deadline()) {
                        timer.messageReceived(now + wait);
                        return now + wait;
                    }
                    now = timer.deadline();
                }
                default -> throw new AssertionError(call);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** An agent that is silent, then fails two calls in whatever way, still has told all in time. */
    @Property(tries = 500, seed = "11")
    void recoversInTimeThoughTwoCallsFail(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WatchStalenessTimer timer = agent(seed);
        timer.callStarted(0);
        double now = 20;
        timer.messageReceived(now);
        for (int line = random.nextInt(5); line > 0; line--) {
            now += 2000;
            timer.messageReceived(now);
        }
        // It falls silent at some moment before the next line.
        double silentAt = now + random.nextDouble(2000);
        Call first = Call.values()[random.nextInt(Call.values().length - 1)];
        Call second = Call.values()[random.nextInt(Call.values().length - 1)];
        double again = recoveryTime(timer, now, new Call[] {first, second, Call.ANSWERS}, 50);
        assertTrue(
                again <= now + WatchStalenessTimer.NOTIFIED_AFTER_MILLIS, first + ", " + second + ": " + (again - now));
        assertTrue(again <= silentAt + WatchStalenessTimer.NOTIFIED_AFTER_MILLIS);
    }

    /** Guards against a first word that stops after half a line and is waited for until the told time is past. */
    @Test
    void partOfALineIsNoMessage() {
        WatchStalenessTimer timer = agent(3);
        timer.callStarted(0);
        timer.bytesReceived(5);
        timer.bytesReceived(2900);
        assertTrue(timer.deadline() <= 3005, "later parts do not move it on: " + timer.deadline());
    }

    /** Guards against an agent that is only slow and would be given up for ever in the middle of its list. */
    @Test
    void waitsForASlowAgentInTheEnd() {
        WatchStalenessTimer timer = agent(4);
        timer.callStarted(0);
        timer.messageReceived(10);
        double now = timer.deadline();
        double longest = 0;
        for (int call = 0; call < 3; call++) {
            now += timer.callEnded(now);
            timer.callStarted(now);
            timer.bytesReceived(now + 5);
            longest = timer.deadline() - now;
            now = timer.deadline();
        }
        assertTrue(longest >= 3000, "the third call may take " + longest);
    }

    /** A hundred that share one discovery: all cut off at once come back spread, and inside their own told time. */
    @Test
    void dispatchersDoNotCallASharedServiceAtOnce() {
        double maxWaitMillis = 10_000;
        List<Double> calls = new ArrayList<>();
        for (int d = 0; d < 100; d++) {
            WatchStalenessTimer timer = new WatchStalenessTimer(
                    new PollBackoff(true, 100, maxWaitMillis, new SplittableRandom(d)), maxWaitMillis);
            timer.callStarted(0);
            timer.messageReceived(10);
            double found = timer.deadline();
            double next = found + timer.callEnded(found);
            calls.add(next);
            assertTrue(
                    next + 5000 <= 10 + timer.notifiedAfterMillis(),
                    "one that waits its turn is answered in time: " + next);
        }
        double from = calls.stream().mapToDouble(c -> c).min().orElseThrow();
        for (double at = from; at < from + 2500; at += 250) {
            double start = at;
            long in = calls.stream().filter(c -> c >= start && c < start + 250).count();
            assertTrue(in <= 25, in + " calls from " + at);
        }
    }

    /** Where a service cannot be had at all, each asks it less and less often. */
    @Test
    void callsBackOffWhileTheServiceIsUnreachable() {
        WatchStalenessTimer timer =
                new WatchStalenessTimer(new PollBackoff(true, 8, 20_000, new SplittableRandom(5)), 20_000);
        double now = 0;
        int early = 0;
        int late = 0;
        while (now < 120_000) {
            timer.callStarted(now);
            now += 5;
            early += now < 10_000 ? 1 : 0;
            late += now >= 110_000 ? 1 : 0;
            now += timer.callEnded(now);
        }
        assertTrue(late < early && late <= 6, early + " calls at first, " + late + " later");
    }

    @Test
    void movedServiceGetsTheFullFirstMessageTimeout() {
        WatchStalenessTimer timer = agent(9);
        timer.callStarted(0);
        timer.messageReceived(10);
        timer.callStarted(5000);
        assertEquals(5700, timer.deadline());
        timer.addressChanged();
        timer.callStarted(6000);
        assertEquals(7500, timer.deadline());
    }

    private static List<String> frameInPieces(String text, int each) {
        JsonObjectFramer framer = new JsonObjectFramer();
        List<String> objects = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < bytes.length; at += each) {
            framer.feed(Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + each)), objects::add);
        }
        return objects;
    }

    /** Guards against a list that comes indented: read by lines, it would break every watch for good. */
    @Test
    void framesIndentedObjectsSplitAtAnyByte() {
        String one = "{\n  \"seq\": 1,\n  \"hosts\": [\n    {\"host\": \"a{\\\"}\u00e9\"}\n  ]\n}";
        String two = "{\"seq\":2,\"hosts\":[]}";
        for (int each = 1; each < 40; each++) {
            assertEquals(
                    List.of(one, two),
                    frameInPieces("\n  " + one + "\r\n\n" + two + "\n\n", each),
                    "pieces of " + each);
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
