import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Parts that the cases share: a record, HTTP messages, a discovery agent, a sim runner, and dispatcher processes that
 * are started by the command of the deploy file. JDK only; every address is 127.0.0.1.
 */
final class Kit {
    static final String HOST = "127.0.0.1";
    static final long MS = 1_000_000;
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private Kit() {}

    /** Whether the disruption of the case is played; with TROUBLE=0 it is not. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** What a case does; returns HELD or BROKEN. */
    interface Case {
        int play(Bench bench) throws Exception;
    }

    /** Plays a case, ends all processes, deletes the temporary folder and exits with its code. */
    static void run(Path root, Path folder, Case played) {
        int code = COULD_NOT_RUN;
        Bench bench = null;
        try {
            bench = new Bench(root, folder);
            Bench watched = bench;
            Thread watchdog = new Thread(() -> {
                sleep(112_000);
                watched.record("the case took too long");
                watched.close();
                Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(watched::close));
            bench.record("disruption: " + (trouble() ? "on" : "off (TROUBLE=0)"));
            code = played.play(bench);
            bench.record("verdict: " + (code == HELD ? "the rule held" : "the rule was broken") + ", exit " + code);
        } catch (Throwable e) {
            code = COULD_NOT_RUN;
            if (bench != null) {
                bench.record("could not run: " + e);
            }
            e.printStackTrace();
        } finally {
            if (bench != null) {
                bench.close();
            }
        }
        Runtime.getRuntime().halt(code);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** The record, the temporary folder and the processes of one run. */
    static final class Bench implements AutoCloseable {
        final Path root;
        final Path temporary;
        private final PrintWriter out;
        private final long startedAt = System.nanoTime();
        private final List<Dispatcher> dispatchers = new CopyOnWriteArrayList<>();
        private boolean closed;

        Bench(Path root, Path folder) throws IOException {
            this.root = root.toAbsolutePath();
            temporary = Files.createTempDirectory("review");
            out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        }

        double seconds() {
            return (System.nanoTime() - startedAt) / 1e9;
        }

        synchronized void record(String line) {
            String text = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
            out.println(text);
        }

        /** Copies the dispatchers' log lines that match into the record. */
        void recordLog(Dispatcher dispatcher, Pattern wanted, int most) throws IOException {
            int written = 0;
            for (String line : Files.readAllLines(dispatcher.log)) {
                if (wanted.matcher(line).find() && written++ < most) {
                    record("log: " + line.substring(0, Math.min(240, line.length())));
                }
            }
        }

        @Override
        public synchronized void close() {
            if (closed) {
                return;
            }
            closed = true;
            dispatchers.forEach(Dispatcher::kill);
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                // Left in the temporary folder of the system.
            }
            out.flush();
        }
    }

    /** One process of the deploy file's command. */
    static final class Dispatcher {
        final Process process;
        final Path log;
        final int port;

        Dispatcher(Bench bench, String life, int port, String config, String arguments) throws IOException {
            this(bench, life, life, port, config, arguments, Map.of());
        }

        /**
         * Starts a process.
         *
         * @param home        processes with the same home share their $TMPDIR, as those of an upgrade do
         * @param environment variables in addition to $ROUTER_CONFIG and $TMPDIR
         */
        Dispatcher(
                Bench bench,
                String life,
                String home,
                int port,
                String config,
                String arguments,
                Map<String, String> environment)
                throws IOException {
            this.port = port;
            Path own = Files.createDirectories(bench.temporary.resolve(life));
            Path file = Files.writeString(own.resolve("config.json"), config);
            log = own.resolve("log");
            Path tmp = Files.createDirectories(bench.temporary.resolve(home + "-tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(bench.root) + arguments)
                    .directory(bench.root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            List.of("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_ADMIN_ADDR")
                    .forEach(builder.environment()::remove);
            builder.environment().put("TMPDIR", tmp.toString());
            builder.environment().put("ROUTER_CONFIG", file.toString());
            builder.environment().putAll(environment);
            process = builder.start();
            bench.dispatchers.add(this);
            bench.record("dispatcher " + life + " started, process " + process.pid());
        }

        private static String runCommand(Path root) throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"\\s*$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no run");
            }
            return run.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
        }

        /** Waits for the first yes of /_health, as the front does. */
        void awaitReady() throws IOException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < until && process.isAlive()) {
                try (Socket socket = new Socket(HOST, port)) {
                    socket.setSoTimeout(2000);
                    socket.getOutputStream()
                            .write("GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    if (Message.read(new BufferedInputStream(socket.getInputStream())).status() == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(50);
            }
            throw new IOException("the dispatcher is not ready: " + Files.readString(log));
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** SIGTERM, then SIGKILL after that time if it has not ended. */
        void terminate(long killAfterMillis) throws InterruptedException {
            process.destroy();
            if (!process.waitFor(killAfterMillis, TimeUnit.MILLISECONDS)) {
                kill();
            }
        }
    }

    /** An HTTP message with its whole body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        /** Reads a message; null at the end of the stream before its first byte. */
        static Message read(InputStream in) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
                int colon = text.indexOf(':');
                headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).strip());
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                for (int size = Integer.parseInt(line(in).strip(), 16); size > 0; ) {
                    body.write(whole(in, size));
                    line(in);
                    size = Integer.parseInt(line(in).strip(), 16);
                }
                line(in);
            } else {
                body.write(whole(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
            }
            return new Message(first, headers, body.toByteArray());
        }

        private static byte[] whole(InputStream in, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("cut off");
            }
            return bytes;
        }

        static String line(InputStream in) throws IOException {
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    if (text.size() == 0) {
                        return null;
                    }
                    throw new IOException("cut off");
                }
                text.write(b);
            }
            return text.toString(StandardCharsets.UTF_8).stripTrailing();
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        void serve(Message request, OutputStream out, Socket socket) throws IOException;
    }

    /** Accepts connections for ever and gives each request to the handler, one at a time on a connection. */
    static int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName(HOST));
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            for (Message m = Message.read(in); m != null; m = Message.read(in)) {
                                handler.serve(m, socket.getOutputStream(), socket);
                            }
                        } catch (IOException e) {
                            // The peer has gone.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server.getLocalPort();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void beginChunks(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void endChunks(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void respond(OutputStream out, String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + "\r\nContent-Length: " + bytes.length + "\r\n" + headers + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.flush();
    }

    /** A discovery agent: the whole list first, then an empty line every 2 s. */
    static final class Discovery {
        final int port;
        private final String list;

        Discovery(List<String> hosts) throws IOException {
            list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
            port = serve((request, out, socket) -> {
                if (!request.first().contains("watch=1")) {
                    respond(out, "200 OK", "Content-Type: application/json\r\n", list);
                    return;
                }
                beginChunks(out);
                chunk(out, list + "\n");
                while (!socket.isClosed()) {
                    sleep(2000);
                    chunk(out, "\n");
                }
            });
        }

        String list() {
            return list;
        }
    }

    static String host(String name, int port) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + HOST + ":" + port
                + "\",\"site\":\"ebene\",\"class\":\"std-2c\",\"block\":1,\"health\":\"Ready\",\"share\":1.0,"
                + "\"born_ms\":0}";
    }

    static String line(String id, String runner, String state) {
        return "{\"id\":\"" + id + "\",\"from\":\"" + runner + "\",\"state\":" + state + "}\n";
    }

    static String classOf(String name, String repeat, long deadlineMillis) {
        return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"dedup_scope\":\"zone\",\"aim\":"
                + deadlineMillis * MS + ",\"deadline\":" + deadlineMillis * MS + ",\"worth\":1.0,\"window\":"
                + 15_000 * MS + ",\"late_worth\":0.0,\"stream\":false}";
    }

    /** A configuration with settings in the form of the protocol pages, for one dispatcher. */
    static String config(int port, Discovery discovery, List<String> classes, boolean secondCopies) {
        return "{\"name\":\"n0\",\"listen\":\"" + HOST + ":" + port + "\",\"discovery\":\"" + HOST + ":"
                + discovery.port + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + discovery.list() + ",\"settings\":{\"rank\":0,\"fleet_size\":1,\"zone\":\"ebene\","
                + "\"zones\":[\"ebene\"],\"models\":[\"std-2c\"],\"membership_mode\":\"pushed\",\"layer\":0,"
                + "\"tiers\":[\"sim-workers\"],\"worth_by\":\"work\",\"weights\":\"nominal\",\"classes\":["
                + String.join(",", classes) + "],"
                + "\"tenants\":[{\"name\":\"college-nord\",\"fraction\":1.0,\"quota_per_s\":60.0}],"
                + "\"report\":{\"source\":\"on_probe\",\"names\":[\"depth\",\"concurrent\",\"x0\",\"x1\"]},"
                + "\"family_info\":{\"progress\":" + 1000 * MS + ",\"tells_start\":true,\"queue_order\":\"fifo\"},"
                + "\"ceilings\":{\"attempts_cap\":6,\"cancel\":true,\"peers\":false,\"probes\":true,"
                + "\"retry_after\":true,\"second_copies\":" + secondCopies + ",\"max_retry_after\":" + 2000 * MS
                + ",\"connect_timeout\":" + 200 * MS + ",\"conn_idle\":" + 5000 * MS + ",\"max_open\":10000},"
                + "\"rules\":{\"answer_slack\":" + 20 * MS + ",\"ask_within\":" + 10_000 * MS + ",\"cold\":"
                + 8900 * MS + ",\"cold_share\":0.32,\"drain_grace\":" + 3000 * MS + ",\"fall\":" + 1000 * MS
                + ",\"overload_factor\":3.0}}}";
    }

    /** The head of a job in the protocol's form. */
    static String job(String id, String requestClass, double deadlineSeconds, int length, String more) {
        return "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Tenant: college-nord\r\nX-Deadline: " + String.format(Locale.ROOT, "%.3f", deadlineSeconds)
                + "\r\n" + more + "Content-Length: " + length + "\r\n\r\n";
    }

    static List<String> newList() {
        return new ArrayList<>();
    }
}
