import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A capture file whose requests are split across TCP segments; every whole request in it must be replayed. */
final class ReplaySplit {
    private static final int JOBS = 12;
    /** Where each request is cut first: within its first line. */
    private static final int FIRST_SEGMENT_BYTES = 8;

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            Set<String> seen = ConcurrentHashMap.newKeySet();
            Runner runner = play.keep(new Runner("s-00000001", play.record));
            runner.behave(job -> {
                seen.add(job.id);
                job.done(20, "r" + job.id);
            });
            Discovery discovery = play.discovery("posta", runner);
            ByteArrayOutputStream file = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(file);
            out.writeInt(0xa1b2c3d4);
            out.writeShort(2);
            out.writeShort(4);
            out.writeInt(0);
            out.writeInt(0);
            out.writeInt(65535);
            out.writeInt(101);
            long micros = 1_700_000_000_000_000L;
            for (int i = 0; i < JOBS; i++) {
                byte[] job = Http.job(
                        String.format("%016x", 0x5000 + i),
                        "step-view",
                        "college-nord",
                        5,
                        "",
                        "{\"step\":3}".getBytes(StandardCharsets.UTF_8));
                int clientPort = 40_000 + i;
                int sequence = 1000;
                packet(out, micros, clientPort, sequence++, true, new byte[0]);
                boolean split = play.trouble && i % 2 == 0;
                int step = split ? FIRST_SEGMENT_BYTES : job.length;
                play.record.line(String.format("%016x", 0x5000 + i) + " stands in the file in "
                        + (job.length + step - 1) / step + " segments");
                for (int from = 0; from < job.length; from += step) {
                    byte[] part = Arrays.copyOfRange(job, from, Math.min(job.length, from + step));
                    micros += 200;
                    packet(out, micros, clientPort, sequence, false, part);
                    sequence += part.length;
                }
                micros += 100_000;
            }
            Path capture = play.folder.resolve("split.pcap");
            Files.write(capture, file.toByteArray());
            ReplayUnsafe.replay(play, discovery, capture);
            play.record.line(seen.size() + " of " + JOBS + " whole requests of the file came to the sim runner");
            return seen.size() == JOBS;
        });
    }

    /** Writes one packet from the client: raw IPv4 and TCP, without checksums. */
    private static void packet(DataOutputStream out, long micros, int port, int sequence, boolean syn, byte[] payload)
            throws IOException {
        int length = 40 + payload.length;
        out.writeInt((int) (micros / 1_000_000));
        out.writeInt((int) (micros % 1_000_000));
        out.writeInt(length);
        out.writeInt(length);
        out.writeShort(0x4500);
        out.writeShort(length);
        out.writeInt(0x00004000);
        out.writeShort(0x4006);
        out.writeShort(0);
        out.writeInt(0x7f000001);
        out.writeInt(0x7f000002);
        out.writeShort(port);
        out.writeShort(8080);
        out.writeInt(sequence);
        out.writeInt(1);
        out.writeShort(syn ? 0x5002 : 0x5018);
        out.writeShort(65535);
        out.writeInt(0);
        out.write(payload);
    }
}
