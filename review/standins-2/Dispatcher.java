import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One dispatcher, started as the platform does: by the deploy file's command, from the repository's root. */
final class Dispatcher implements AutoCloseable {
    private final Path temporary;
    private final Path log;
    final int port;
    private Process process;

    private Dispatcher(Path temporary, Path log, int port) {
        this.temporary = temporary;
        this.log = log;
        this.port = port;
    }

    /** The deploy file's command under this key. */
    static String command(String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("no command under " + key);
        }
        return matcher.group(1);
    }

    /** Writes the configuration that the deployment page describes. */
    static Path configuration(
            Path folder, int listen, int peer, Discovery discovery, int sockets, int memoryMb, Settings settings)
            throws IOException {
        Path file = folder.resolve("config-" + listen + ".json");
        Files.writeString(
                file,
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                        + ",\"sockets\":" + sockets + "},\"peer_listen\":\"127.0.0.1:" + peer
                        + "\",\"peers\":[\"127.0.0.1:" + peer + "\"],\"known\":" + discovery.list() + ",\"settings\":"
                        + settings.json() + "}");
        return file;
    }

    static Dispatcher start(
            Path folder, Discovery discovery, int sockets, int memoryMb, Settings settings, String arguments)
            throws Exception {
        int port = Http.freePort();
        Path config = configuration(folder, port, Http.freePort(), discovery, sockets, memoryMb, settings);
        Dispatcher dispatcher = new Dispatcher(
                Files.createDirectories(folder.resolve("tmp-" + port)), folder.resolve("log-" + port + ".txt"), port);
        dispatcher.process = process(config, dispatcher.temporary, dispatcher.log, command("run") + arguments);
        dispatcher.awaitHealth();
        return dispatcher;
    }

    /** Starts the same dispatcher once more, beside the one that runs or after it; the temporary folder is shared. */
    Dispatcher again(Path config, String arguments) throws Exception {
        Dispatcher next = new Dispatcher(temporary, log.resolveSibling("log-" + System.nanoTime() + ".txt"), port);
        next.process = process(config, temporary, next.log, command("run") + arguments);
        return next;
    }

    static Process process(Path config, Path temporary, Path log, String command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        return builder.start();
    }

    private void awaitHealth() throws Exception {
        byte[] health =
                "GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n".getBytes("US-ASCII");
        for (long end = System.nanoTime() + 30_000_000_000L; System.nanoTime() < end; Thread.sleep(100)) {
            Http.Message answer = Http.exchange(port, health, 1000);
            if (answer != null && answer.status() == 200) {
                return;
            }
            if (!process.isAlive()) {
                throw new IOException("the dispatcher has ended: " + Files.readString(log));
            }
        }
        throw new IOException("the dispatcher is not healthy: " + Files.readString(log));
    }

    Process process() {
        return process;
    }

    List<String> log() throws IOException {
        return Files.readAllLines(log);
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }
}
