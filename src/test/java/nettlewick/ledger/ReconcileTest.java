package nettlewick.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import inet.ipaddr.IPAddressString;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.core.Clock;
import nettlewick.sqlite.StoreException;
import nettlewick.stubs.StubPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reconciliation between ledgers, and peers that send wrong data, break off, respond slowly or present a forked chain.
 */
@Timeout(60)
class ReconcileTest {
    private static final double NOW = 1793491200000.0;
    private static final byte[] KEY = "0123456789abcdef0123456789abcdef".getBytes();

    @TempDir
    private Path dir;

    private Vertx vertx;
    private final Clock clock = Clock.system();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    @BeforeEach
    void setUp() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void tearDown() throws Exception {
        for (AutoCloseable one : closeables) {
            one.close();
        }
        StubPlatform.awaitResult(vertx.close());
    }

    private static PeerSettings settings(String... admit) {
        return new PeerSettings(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                null,
                java.util.Arrays.stream(admit)
                        .map(a -> new IPAddressString(a).getAddress().toPrefixBlock())
                        .toList(),
                List.of(),
                10,
                500,
                7);
    }

    private Store store(String name) throws StoreException {
        Store store = Store.open(dir.resolve(name), name.substring(0, 1), FaultInjection.NONE);
        closeables.add(store);
        return store;
    }

    private static List<Entry> drafts(int count, String member) {
        List<Entry> drafts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            drafts.add(TestEntries.served(new EntryRef(new ChainOrigin("", 0), 0), NOW + i, member, i));
        }
        return drafts;
    }

    private int startServer(Store store) throws Exception {
        PeerServer server =
                new PeerServer(settings("127.0.0.0/8"), store.folder(), new MessageAuthenticator(KEY), clock);
        closeables.add(0, server);
        return StubPlatform.awaitResult(server.listen());
    }

    private PeerClient client(int port, double timeout) {
        return new PeerClient(
                vertx,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                new MessageAuthenticator(KEY),
                clock,
                timeout);
    }

    private Reconciler.Report runRound(Store to, int port) throws Exception {
        return new Reconciler(to, client(port, 2000), 7).runRound();
    }

    private static Map<ChainOrigin, Long> lastNumbers(Store store) throws StoreException {
        Map<ChainOrigin, Long> numbers = new TreeMap<>();
        store.heads().forEach((o, h) -> numbers.put(o, h.number()));
        return numbers;
    }

    @Test
    void reconciledLedgersHoldTheSameEntriesAndFetchNothingMore() throws Exception {
        Store a = store("a");
        Store b = store("b");
        ChainOrigin one = a.beginIncarnation(NOW);
        ChainOrigin two = b.beginIncarnation(NOW);
        a.append(one, drafts(40, "x"));
        b.append(two, drafts(3, "y"));
        int portA = startServer(a);
        int portB = startServer(b);
        assertEquals(40, runRound(b, portA).entries());
        assertEquals(3, runRound(a, portB).entries());
        assertEquals(lastNumbers(a), lastNumbers(b));
        a.append(one, drafts(2, "x"));
        assertEquals(2, runRound(b, portA).entries());
        assertEquals(new Reconciler.Report(0, 0, List.of(), List.of()), runRound(b, portA));
        assertEquals(List.of(), b.verify());
    }

    @Test
    void lostStoreIsRebuiltUnderANewIncarnation() throws Exception {
        Store a = store("a");
        Store b = store("b");
        ChainOrigin one = a.beginIncarnation(NOW);
        a.append(one, drafts(10, "x"));
        runRound(b, startServer(a));
        Store rebuilt = store("a2");
        ChainOrigin next = rebuilt.beginIncarnation(NOW + 5000);
        assertNotEquals(one, next);
        rebuilt.append(next, drafts(1, "x"));
        assertEquals(10, runRound(rebuilt, startServer(b)).entries());
        assertEquals(Map.of(one, 10L, next, 1L), lastNumbers(rebuilt));
        assertTrue(rebuilt.beginIncarnation(0).incarnation() > next.incarnation());
    }

    /** The same incarnation continues from an old copy: both chains have number 6 and later, with different content. */
    @Test
    void forkIsLocatedAndQuarantinedAndNeverMerged() throws Exception {
        Store a = store("a");
        Store b = store("b");
        ChainOrigin one = a.beginIncarnation(NOW);
        a.append(one, drafts(5, "x"));
        Store copy = store("a-copy");
        int portA = startServer(a);
        runRound(copy, portA);
        a.append(one, drafts(20, "x"));
        copy.append(one, drafts(9, "forged"));
        runRound(b, portA);
        Reconciler.Report report = runRound(b, startServer(copy));
        assertEquals(1, report.forks().size());
        assertTrue(
                report.forks().get(0).contains("entry 6 has two contents"),
                report.forks().toString());
        a.append(one, drafts(1, "x"));
        assertEquals(0, runRound(b, portA).entries(), "no entries of a quarantined chain are fetched");
        assertTrue(b.verify().get(0).contains("quarantined"), b.verify().toString());
        Reconciler.Report other = runRound(copy, portA);
        assertEquals(1, other.forks().size(), "the side with the shorter chain detects the fork too");
    }

    // Misbehaving peers

    /** Starts a peer that signs its responses but chooses their content freely. */
    private int startForgingPeer(java.util.function.Function<String, Buffer> respond) throws Exception {
        MessageAuthenticator authenticator = new MessageAuthenticator(KEY);
        HttpServer server = vertx.createHttpServer().requestHandler(r -> {
            Buffer body = respond.apply(r.uri());
            r.response()
                    .putHeader(
                            PeerServer.SIGNATURE_HEADER,
                            authenticator.signResponse(r.getHeader(PeerServer.NONCE_HEADER), 200, body.getBytes()))
                    .end(body);
        });
        return StubPlatform.awaitResult(server.listen(0, "127.0.0.1")).actualPort();
    }

    private static Buffer heads(ChainOrigin origin, long number, byte[] hash) {
        return Buffer.buffer("[{\"d\":\"" + origin.dispatcher() + "\",\"l\":" + origin.incarnation() + ",\"n\":"
                + number
                + ",\"h\":\"" + java.util.HexFormat.of().formatHex(hash) + "\"}]");
    }

    private static Buffer encodeEntries(List<byte[]> entries) {
        Buffer all = Buffer.buffer();
        entries.forEach(e -> all.appendInt(e.length).appendBytes(e));
        return all;
    }

    @Test
    void forgingPeerChangesNothingAndCausesNoQuarantine() throws Exception {
        Store a = store("a");
        ChainOrigin own = a.beginIncarnation(NOW);
        a.append(own, drafts(4, "x"));
        ChainOrigin other = new ChainOrigin("c", 9);
        byte[] wrong = new byte[32];
        wrong[3] = 7;
        String hex = java.util.HexFormat.of().formatHex(wrong);
        List<byte[]> two = List.of(
                TestEntries.served(new EntryRef(other, 1), NOW, "m", 1).toBytes(),
                TestEntries.served(new EntryRef(other, 2), NOW, "m", 1).toBytes());
        List<byte[]> withGap = List.of(
                two.get(0),
                TestEntries.served(new EntryRef(other, 3), NOW, "m", 1).toBytes());
        List<byte[]> otherOrigin =
                List.of(TestEntries.served(new EntryRef(own, 1), NOW, "m", 1).toBytes());
        Buffer truncated = encodeEntries(two).getBuffer(0, 60);
        for (Buffer entries : List.of(
                encodeEntries(two),
                encodeEntries(withGap),
                encodeEntries(otherOrigin),
                truncated,
                Buffer.buffer(),
                encodeEntries(List.of(new byte[] {1, 2, 3})))) {
            int port = startForgingPeer(uri -> uri.startsWith(PeerServer.HEADS_PATH)
                    ? heads(other, 2, wrong)
                    : uri.startsWith(PeerServer.HASH_PATH) ? Buffer.buffer(hex) : entries);
            Reconciler.Report report = runRound(a, port);
            assertEquals(1, report.faults().size(), report.toString());
            assertEquals(Map.of(own, 4L), lastNumbers(a));
        }
        // It claims another hash for an entry that is stored here, and presents the same entry, or one that does not
        // follow.
        for (List<byte[]> presented : List.of(List.of(a.rows(own, 1, 1).get(0).bytes()), otherOrigin)) {
            int port = startForgingPeer(uri -> uri.startsWith(PeerServer.HEADS_PATH)
                    ? heads(own, 4, wrong)
                    : uri.startsWith(PeerServer.HASH_PATH) ? Buffer.buffer(hex) : encodeEntries(presented));
            Reconciler.Report report = runRound(a, port);
            assertEquals(1, report.faults().size(), report.toString());
            assertEquals(Map.of(), a.quarantined());
        }
        assertEquals(List.of(), a.verify());
    }

    @Test
    void unsignedResponsesAreRejectedAndSlowPeersTimeOut() throws Exception {
        Store a = store("a");
        HttpServer silentServer = vertx.createHttpServer().requestHandler(r -> {});
        int silentPort =
                StubPlatform.awaitResult(silentServer.listen(0, "127.0.0.1")).actualPort();
        double before = clock.nowMillis();
        assertThrows(IOException.class, () -> new Reconciler(a, client(silentPort, 60), 7).runRound());
        assertTrue(clock.nowMillis() - before < 5000);
        HttpServer tricklingServer = vertx.createHttpServer().requestHandler(r -> {
            r.response().setChunked(true).write("[");
            r.response().exceptionHandler(e -> {});
            vertx.setPeriodic(5, t -> {
                if (r.response().closed()) {
                    vertx.cancelTimer(t);
                } else {
                    r.response().write(" ");
                }
            });
        });
        int slowPort =
                StubPlatform.awaitResult(tricklingServer.listen(0, "127.0.0.1")).actualPort();
        assertThrows(IOException.class, () -> new Reconciler(a, client(slowPort, 60), 7).runRound());
        HttpServer unsignedServer =
                vertx.createHttpServer().requestHandler(r -> r.response().end("[]"));
        int unsignedPort =
                StubPlatform.awaitResult(unsignedServer.listen(0, "127.0.0.1")).actualPort();
        assertTrue(assertThrows(IOException.class, () -> runRound(a, unsignedPort))
                .getMessage()
                .contains("no valid signature"));
    }

    /** After an interruption, complete chunks are kept and the next round continues from there. */
    @Test
    void interruptedRoundIsContinuedByTheNext() throws Exception {
        Store a = store("a");
        Store b = store("b");
        ChainOrigin one = a.beginIncarnation(NOW);
        a.append(one, drafts(40, "x"));
        int port = startServer(a);
        PeerClient interrupted =
                new PeerClient(
                        vertx,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        new MessageAuthenticator(KEY),
                        clock,
                        2000) {
                    private int calls;

                    @Override
                    Buffer get(String uri) throws IOException, InterruptedException {
                        if (++calls > 6) {
                            throw new IOException("cut off");
                        }
                        return super.get(uri);
                    }
                };
        Reconciler.Report partial = new Reconciler(b, interrupted, 7).runRound();
        assertEquals(1, partial.faults().size());
        long held = lastNumbers(b).get(one);
        assertTrue(held > 0 && held < 40, "held " + held);
        runRound(b, port);
        assertEquals(40, lastNumbers(b).get(one));
        assertEquals(List.of(), b.verify());
    }

    @Test
    void requestsAreCheckedByNetworkSignatureTimestampAndNonce() throws Exception {
        Store a = store("a");
        PeerServer otherNetworks =
                new PeerServer(settings("10.0.0.0/8", "::1"), a.folder(), new MessageAuthenticator(KEY), clock);
        closeables.add(0, otherNetworks);
        int port = StubPlatform.awaitResult(otherNetworks.listen());
        HttpClient http = HttpClient.newHttpClient();
        assertEquals(
                403,
                http.send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/ledger/heads"))
                                        .build(),
                                HttpResponse.BodyHandlers.discarding())
                        .statusCode());
        assertEquals(
                401,
                http.send(
                                HttpRequest.newBuilder(
                                                URI.create("http://127.0.0.1:" + startServer(a) + "/ledger/heads"))
                                        .build(),
                                HttpResponse.BodyHandlers.discarding())
                        .statusCode());
        MessageAuthenticator sender = new MessageAuthenticator(KEY);
        MessageAuthenticator receiver = new MessageAuthenticator(KEY);
        String nonce = "0".repeat(32);
        String signature = sender.signRequest("/x", nonce, NOW);
        String time = Long.toString((long) NOW);
        assertNull(receiver.requestError("/x", nonce, time, signature, NOW + 59_000));
        assertEquals("a call that was made before", receiver.requestError("/x", nonce, time, signature, NOW + 59_500));
        assertEquals("a call of another time", receiver.requestError("/x", nonce, time, signature, NOW + 60_001));
        assertEquals("a wrong seal", receiver.requestError("/y", nonce, time, signature, NOW));
        assertEquals(
                "a wrong seal",
                new MessageAuthenticator("another key, which is also long enough".getBytes())
                        .requestError("/x", nonce, time, signature, NOW));
        assertEquals("not sealed", receiver.requestError("/x", null, time, signature, NOW));
        assertTrue(
                sender.isValidResponse(nonce, 200, new byte[] {1}, receiver.signResponse(nonce, 200, new byte[] {1})));
        assertTrue(
                !sender.isValidResponse(nonce, 200, new byte[] {2}, receiver.signResponse(nonce, 200, new byte[] {1})));
    }

    /** Three complete services with listeners, key files and an export each. */
    @Test
    void servicesReconcileInTheBackground() throws Exception {
        Path key = Files.write(dir.resolve("key"), KEY);
        List<LedgerService> services = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            LedgerService service = new LedgerService(
                    "d" + i,
                    new LedgerSettings(
                            dir.resolve("d" + i),
                            false,
                            2,
                            2,
                            5,
                            1000,
                            new BillingCalendar(java.time.ZoneOffset.UTC, List.of()),
                            15_000,
                            List.of(new ExportSettings("x", dir.resolve("x" + i), null, true, 50, 20, 100, 1, 10, 3)),
                            new PeerSettings(
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    key,
                                    settings("127.0.0.0/8").admittedNetworks(),
                                    List.copyOf(addresses),
                                    20,
                                    2000,
                                    100)),
                    clock,
                    7);
            service.start();
            closeables.add(0, service);
            services.add(service);
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), service.port()));
        }
        for (int i = 0; i < 90; i++) {
            services.get(i % 3)
                    .recorder()
                    .record(
                            new nettlewick.core.UsageRecorder.FinishedRequest(
                                    new nettlewick.core.Request("j" + i, "c", "m", null, 0, 1, 0, 0, false, null, null),
                                    nettlewick.core.UsageRecorder.Ending.SERVED,
                                    NOW,
                                    1,
                                    1000,
                                    false,
                                    0),
                            nettlewick.core.UsageRecorder.DeliveryCallback::onDelivered);
        }
        LedgerService otherDispatcher =
                new LedgerService("d9", services.get(0).recorder().settings(), clock, 7);
        assertTrue(assertThrows(IOException.class, otherDispatcher::start)
                .getMessage()
                .contains("the ledger of d0, not of"));
        StubPlatform.waitUntil(() -> storedCount("d2") == 90 && storedCount("d1") == 60);
        StubPlatform.waitUntil(() -> services.stream()
                .allMatch(service -> service.recorder()
                                .metrics()
                                .getOrDefault("ledger.export.x.lag", -1L)
                                .longValue()
                        == 0));
        // The lag is from the last round of the export; entries may have been added since.
        StubPlatform.waitUntil(() -> exportedCount("x2") >= 30);
        assertEquals(30L, exportedCount("x2"), "only its own entries are exported");
    }

    private long exportedCount(String folder) {
        try {
            return ExportTest.totals(ExportTest.completeBatches(dir.resolve(folder)))
                    .get(0);
        } catch (IOException e) {
            return -1;
        }
    }

    private long storedCount(String name) {
        try (Store store = Store.read(dir.resolve(name))) {
            return store.countByKind(false).getOrDefault(Entry.Kind.JOB, 0L);
        } catch (StoreException e) {
            return -1;
        }
    }
}
