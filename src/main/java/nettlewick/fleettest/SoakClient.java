package nettlewick.fleettest;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettlewick.fleettest.SoakJournal.End;
import nettlewick.fleettest.SoakJournal.Entry;
import nettlewick.fleettest.SoakPlan.ClientKind;
import nettlewick.fleettest.SoakPlan.ClientPlan;
import nettlewick.fleettest.SoakPlan.RequestClassPlan;

/**
 * One client of a soak, on its own thread. It uses its connection until that closes, and records in the journal when
 * each request was written and how it ended.
 */
final class SoakClient implements Runnable {
    /** The process that a new connection goes to. */
    record Target(InetSocketAddress address, int dispatcher, int incarnation) {}

    /** Distributes connections among the available dispatchers. */
    interface Balancer {
        /** Returns a dispatcher drawn with {@code random}; null if none is available. */
        Target pick(Random random);
    }

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    /** Position of the status code in a response. */
    private static final int STATUS_OFFSET = "HTTP/1.1 ".length();

    private static final int MAX_PIPELINED = 4;
    private static final double DISCONNECT_PROBABILITY = 0.3;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final long RECONNECT_MILLIS = 20;
    /** Added to the time that an answer may take, so that a late answer is told from a missing one. */
    private static final double EXTRA_WAIT_MILLIS = 1500;

    private final int number;
    private final ClientPlan plan;
    private final RequestClassPlan requestClass;
    private final Balancer balancer;
    private final SoakJournal journal;
    private final DoubleSupplier clock;
    private final BooleanSupplier stopped;
    private final Random random;
    private int requests;
    private int connections;

    SoakClient(
            int number,
            SoakPlan soak,
            Balancer balancer,
            SoakJournal journal,
            DoubleSupplier clock,
            BooleanSupplier stopped) {
        this.number = number;
        plan = soak.clients().get(number);
        requestClass = soak.classes().get(plan.requestClass());
        this.balancer = balancer;
        this.journal = journal;
        this.clock = clock;
        this.stopped = stopped;
        random = new Random(soak.seed() * 1000 + number);
    }

    @Override
    public void run() {
        try {
            while (!stopped.getAsBoolean()) {
                Target target = balancer.pick(random);
                if (target == null || !useConnection(target)) {
                    TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Uses one connection until it closes; returns false if it could not be opened. */
    private boolean useConnection(Target target) throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(target.address(), CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket, target, "n" + target.dispatcher() + "/" + connections++);
            boolean isOpen = true;
            while (isOpen && !stopped.getAsBoolean()) {
                isOpen = connection.exchange();
                if (isOpen) {
                    pause(plan.pauseMillis());
                }
            }
            return true;
        } catch (IOException e) {
            // The connection was refused; no request was sent.
            return false;
        }
    }

    private void pause(double meanMillis) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (1000 * meanMillis * 2 * random.nextDouble()));
    }

    /** One connection and its requests. */
    private final class Connection {
        private final Socket socket;
        private final InputStream in;
        private final Target target;
        private final String name;
        private boolean isFirst = true;

        Connection(Socket socket, Target target, String name) throws IOException {
            this.socket = socket;
            this.target = target;
            this.name = name;
            in = new BufferedInputStream(socket.getInputStream());
        }

        /**
         * Sends a request, or several pipelined ones, and reads the answers; returns false once the connection has
         * closed.
         */
        boolean exchange() throws InterruptedException {
            int requestCount = plan.kind() == ClientKind.PIPELINING ? 1 + random.nextInt(MAX_PIPELINED) : 1;
            List<Entry> batch = new ArrayList<>();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int i = 0; i < requestCount; i++) {
                Entry entry = new Entry(
                        "k" + number + "-" + requests++,
                        requestClass,
                        target.dispatcher(),
                        target.incarnation(),
                        name,
                        isFirst);
                batch.add(journal.begin(entry));
                bytes.writeBytes(requestBytes(entry));
            }
            if (!write(bytes.toByteArray())) {
                batch.forEach(e -> e.ended(End.UNSENT, clock.getAsDouble()));
                return false;
            }
            double now = clock.getAsDouble();
            batch.forEach(e -> e.sent(now));
            if (plan.kind() == ClientKind.DISCONNECTING && random.nextDouble() < DISCONNECT_PROBABILITY) {
                pause(plan.pauseMillis());
                batch.forEach(e -> e.ended(End.DISCONNECTED, clock.getAsDouble()));
                return false;
            }
            boolean isOpen = readAnswers(batch);
            isFirst = false;
            return isOpen && plan.kind() != ClientKind.NEW_CONNECTION;
        }

        private byte[] requestBytes(Entry entry) {
            String body = Double.toString(Math.max(
                    1, Math.min(4, -Math.log(1 - random.nextDouble())) * requestClass.meanWorkMillis()));
            StringBuilder head = new StringBuilder("POST /api HTTP/1.1\r\nHost: backend.local\r\n")
                    .append("X-Request-Id: ")
                    .append(entry.id())
                    .append("\r\nX-Class: ")
                    .append(requestClass.name())
                    .append("\r\nX-Tenant: red\r\nX-Deadline: ")
                    .append(String.format(Locale.ROOT, "%.3f", requestClass.deadlineMillis() / 1000));
            if (requestClass.isKeyed()) {
                head.append("\r\nIdempotency-Key: key-").append(entry.id());
            }
            if (plan.kind() == ClientKind.NEW_CONNECTION) {
                head.append("\r\nConnection: close");
            }
            head.append("\r\nContent-Length: ")
                    .append(body.length())
                    .append("\r\n\r\n")
                    .append(body);
            return head.toString().getBytes(StandardCharsets.US_ASCII);
        }

        /**
         * Writes all bytes, with a pause in the middle for a slow client; returns false if the connection closed
         * before.
         */
        private boolean write(byte[] bytes) throws InterruptedException {
            int first = plan.kind() == ClientKind.SLOW ? 1 + random.nextInt(bytes.length - 1) : 0;
            try {
                socket.getOutputStream().write(bytes, 0, first);
                if (first > 0) {
                    pause(plan.pauseMillis());
                }
                socket.getOutputStream().write(bytes, first, bytes.length - first);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** Reads the answers of a batch in order; returns false once the connection has closed. */
        private boolean readAnswers(List<Entry> batch) {
            boolean isClosing = false;
            for (int i = 0; i < batch.size(); i++) {
                End end = isClosing ? End.CLOSED : readAnswer(batch.get(i));
                if (end != End.ANSWERED) {
                    // The batch was written at once: if one of its requests was answered, the others were read as
                    // well.
                    End rest = end == End.CLOSED && i > 0 ? End.CUT_OFF : end;
                    double now = clock.getAsDouble();
                    batch.subList(i, batch.size()).forEach(e -> e.ended(rest, now));
                    return false;
                }
                isClosing = batch.get(i).head().toLowerCase(Locale.ROOT).contains("\nconnection: close");
            }
            return !isClosing;
        }

        /** Reads and records one answer, or returns how the connection ended or that no answer came in time. */
        private End readAnswer(Entry entry) {
            StringBuilder head = new StringBuilder();
            try {
                double wait = entry.dueAt()
                        + SoakChecks.LATE_ANSWER_TOLERANCE_MILLIS
                        + EXTRA_WAIT_MILLIS
                        - clock.getAsDouble();
                socket.setSoTimeout((int) Math.max(1, wait));
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return head.isEmpty() ? End.CLOSED : End.CUT_OFF;
                    }
                    head.append((char) next);
                }
                Matcher length = CONTENT_LENGTH.matcher(head);
                int bodyLength = length.find() ? Integer.parseInt(length.group(1)) : 0;
                byte[] body = in.readNBytes(bodyLength);
                if (body.length < bodyLength) {
                    return End.CUT_OFF;
                }
                entry.answered(
                        Integer.parseInt(head.substring(STATUS_OFFSET, STATUS_OFFSET + 3)),
                        head.toString(),
                        new String(body, StandardCharsets.UTF_8),
                        clock.getAsDouble());
                return End.ANSWERED;
            } catch (SocketTimeoutException e) {
                return End.NONE;
            } catch (IOException e) {
                return head.isEmpty() ? End.CLOSED : End.CUT_OFF;
            }
        }
    }
}
