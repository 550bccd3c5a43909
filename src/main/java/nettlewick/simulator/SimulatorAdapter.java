package nettlewick.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import nettlewick.decision.Action;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Event;
import nettlewick.decision.SchedulerSettings;
import nettlewick.simulator.Batch.EventItem;
import nettlewick.simulator.Batch.Group;
import nettlewick.simulator.Batch.Item;
import nettlewick.simulator.Batch.Kill;
import nettlewick.simulator.Batch.NewInstance;

/**
 * Runs many instances of the decision module in one process, for the simulator. Makes no decisions itself. Not
 * thread-safe.
 */
public final class SimulatorAdapter {
    private static final int BUFFER_BYTES = 1 << 16;

    private final Map<Integer, Dispatcher> instances = new HashMap<>();
    private final JsonFactory jsonFactory = new JsonFactory();
    private final BatchReader batchReader = new BatchReader(jsonFactory);
    private final BiFunction<SchedulerSettings, Long, Dispatcher> dispatcherFactory;

    /** Creates an adapter for instances of this program's decision module. */
    public SimulatorAdapter() {
        this(Dispatcher::create);
    }

    /** Creates an adapter for instances that the factory creates from settings and a seed. */
    SimulatorAdapter(BiFunction<SchedulerSettings, Long, Dispatcher> dispatcherFactory) {
        this.dispatcherFactory = dispatcherFactory;
    }

    /**
     * Answers each line of {@code in} with one line on {@code out} until the input ends.
     *
     * @throws MalformedMessageException if a line violates the protocol
     */
    public void serve(InputStream in, OutputStream out) throws IOException {
        BufferedReader reader = new BufferedReader(
                new InputStreamReader(new BufferedInputStream(in, BUFFER_BYTES), StandardCharsets.UTF_8), BUFFER_BYTES);
        BufferedOutputStream buffered = new BufferedOutputStream(out, BUFFER_BYTES);
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            writeReply(batchReader.read(line), buffered);
            buffered.flush();
        }
    }

    private void writeReply(Batch batch, OutputStream out) throws IOException {
        ReplyWriter reply = new ReplyWriter(jsonFactory, out, batch.number());
        for (Group group : batch.groups()) {
            reply.startGroup(group.instance());
            try {
                handle(group, batch.nowNanos(), reply);
            } catch (RuntimeException e) {
                reply.writeFault(describe(e));
            }
            reply.endGroup();
        }
        reply.endReply();
    }

    private void handle(Group group, long nowNanos, ReplyWriter reply) throws IOException {
        List<Event> events = new ArrayList<>(group.items().size());
        for (Item item : group.items()) {
            if (item instanceof EventItem occurrence) {
                events.add(occurrence.event());
                continue;
            }
            decide(group.instance(), nowNanos, events, reply);
            if (item instanceof NewInstance created) {
                instances.put(group.instance(), dispatcherFactory.apply(created.settings(), created.seed()));
            } else if (item instanceof Kill) {
                instances.remove(group.instance());
            }
        }
        decide(group.instance(), nowNanos, events, reply);
    }

    /** Passes the collected events to the instance and writes its actions; drops them if there is no instance. */
    private void decide(int instance, long nowNanos, List<Event> events, ReplyWriter reply) throws IOException {
        Dispatcher dispatcher = instances.get(instance);
        if (!events.isEmpty() && dispatcher != null) {
            for (Action action : dispatcher.handle(nowNanos, events)) {
                reply.write(action);
            }
        }
        events.clear();
    }

    private static String describe(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
