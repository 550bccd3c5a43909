package nettlewick.simulator;

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

/** Hosts many instances of the decision module in one process and joins them to the wire. Decides nothing. */
public final class WireHost {
    private final Map<Integer, Dispatcher> instances = new HashMap<>();
    private final WireCodec codec = new WireCodec();
    private final BiFunction<SchedulerSettings, Long, Dispatcher> module;

    public WireHost() {
        this(Dispatcher::create);
    }

    /** Hosts instances of another module. */
    WireHost(BiFunction<SchedulerSettings, Long, Dispatcher> module) {
        this.module = module;
    }

    /** Answers each line of {@code in} with one line on {@code out} until the input ends. */
    public void serve(InputStream in, OutputStream out) throws IOException {
        BufferedReader reader = new BufferedReader(
                new InputStreamReader(new BufferedInputStream(in, 1 << 16), StandardCharsets.UTF_8), 1 << 16);
        BufferedOutputStream buffered = new BufferedOutputStream(out, 1 << 16);
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            answer(codec.read(line), buffered);
            buffered.flush();
        }
    }

    private void answer(WireCodec.Batch batch, OutputStream out) throws IOException {
        WireCodec.Reply reply = codec.reply(out, batch.number());
        for (WireCodec.Group group : batch.groups()) {
            reply.open(group.instance());
            try {
                handle(group, batch.now(), reply);
            } catch (RuntimeException e) {
                reply.fault(cause(e));
            }
            reply.shut();
        }
        reply.end();
    }

    private void handle(WireCodec.Group group, long now, WireCodec.Reply reply) throws IOException {
        List<Event> events = new ArrayList<>(group.items().size());
        for (Object item : group.items()) {
            if (item instanceof Event event) {
                events.add(event);
                continue;
            }
            deliver(group.instance(), now, events, reply);
            if (item instanceof WireCodec.Start start) {
                instances.put(group.instance(), module.apply(start.settings(), start.seed()));
            } else {
                instances.remove(group.instance());
            }
        }
        deliver(group.instance(), now, events, reply);
    }

    private void deliver(int instance, long now, List<Event> events, WireCodec.Reply reply) throws IOException {
        Dispatcher dispatcher = instances.get(instance);
        if (!events.isEmpty() && dispatcher != null) {
            for (Action action : dispatcher.handle(now, events)) {
                reply.write(action);
            }
        }
        events.clear();
    }

    private static String cause(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
