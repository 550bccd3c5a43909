package nettlewick.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The ids that the processes of one dispatcher tell each other. */
@Timeout(30)
class AcceptedIdLogTest {
    private static final long AN_HOUR_MILLIS = 3_600_000;
    private static final int RACES = 200;

    /** Guards against a request that runs once in each process of an upgrade. */
    @Test
    void anIdIsClaimedByOneProcessOnly(@TempDir Path folder) {
        try (HotRestart predecessor = new HotRestart(folder, "n0", 1);
                HotRestart otherDispatcher = new HotRestart(folder, "n1", 1)) {
            assertTrue(predecessor.acceptedIds().claim("before"));
            try (HotRestart successor = new HotRestart(folder, "n0", 2)) {
                assertFalse(successor.acceptedIds().claim("before"));
                assertTrue(successor.acceptedIds().claim("during"));
                assertFalse(predecessor.acceptedIds().claim("during"));
                assertTrue(predecessor.acceptedIds().claim("another"));
                assertTrue(otherDispatcher.acceptedIds().claim("before"));
            }
        }
    }

    /** Guards against a request that runs again after the process that ran it has ended. */
    @Test
    void idsOfAProcessThatHasEndedAreRememberedForAWhile(@TempDir Path folder) throws Exception {
        HotRestart ended = new HotRestart(folder, "n0", 1);
        ended.acceptedIds().claim("a");
        ended.close();
        try (HotRestart successor = new HotRestart(folder, "n0", 2)) {
            assertFalse(successor.acceptedIds().claim("a"));
        }
        for (Path file : logs(folder)) {
            Files.setLastModifiedTime(file, FileTime.fromMillis(System.currentTimeMillis() - AN_HOUR_MILLIS));
        }
        try (HotRestart later = new HotRestart(folder, "n0", 3)) {
            assertTrue(later.acceptedIds().claim("a"));
            assertEquals(1, logs(folder).length, "files of processes that ended long ago are deleted");
        }
    }

    private static Path[] logs(Path folder) throws Exception {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".ids")).toArray(Path[]::new);
        }
    }

    /** The newest ids are kept. */
    @Test
    void onlyTheOldestIdsAreForgotten(@TempDir Path folder) {
        try (HotRestart predecessor = new HotRestart(folder, "n0", 1);
                HotRestart successor = new HotRestart(folder, "n0", 2)) {
            for (int i = 0; i <= AcceptedIdLog.SLOTS; i++) {
                predecessor.acceptedIds().claim("id" + i);
            }
            assertTrue(successor.acceptedIds().claim("id0"));
            assertFalse(successor.acceptedIds().claim("id1"));
        }
    }

    /** Guards against two processes that accept the same id at the same time. */
    @Test
    void ofTwoClaimsAtOnceAtMostOneSucceeds(@TempDir Path folder) throws Exception {
        try (HotRestart first = new HotRestart(folder, "n0", 1);
                HotRestart second = new HotRestart(folder, "n0", 2)) {
            CyclicBarrier start = new CyclicBarrier(2);
            CompletableFuture<boolean[]> claims = CompletableFuture.supplyAsync(() -> claimAll(first, start));
            boolean[] secondClaims = claimAll(second, start);
            boolean[] firstClaims = claims.get();
            for (int i = 0; i < RACES; i++) {
                assertFalse(firstClaims[i] && secondClaims[i], "both claimed id" + i);
            }
        }
    }

    private static boolean[] claimAll(HotRestart process, CyclicBarrier start) {
        boolean[] claimed = new boolean[RACES];
        for (int i = 0; i < RACES; i++) {
            try {
                start.await();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            claimed[i] = process.acceptedIds().claim("id" + i);
        }
        return claimed;
    }
}
