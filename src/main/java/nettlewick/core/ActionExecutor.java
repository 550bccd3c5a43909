package nettlewick.core;

import java.util.function.Consumer;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.Timer;

/** Executes the decision module's actions. Core thread only. */
final class ActionExecutor implements Consumer<Action> {
    private final CoreLoop loop;
    private final InFlightTable table;
    private final FinalAnswers answers;
    private final AttemptTracker attempts;
    private final ProbeTracker probes;
    private final Transport transport;

    ActionExecutor(
            CoreLoop loop,
            InFlightTable table,
            FinalAnswers answers,
            AttemptTracker attempts,
            ProbeTracker probes,
            Transport transport) {
        this.loop = loop;
        this.table = table;
        this.answers = answers;
        this.attempts = attempts;
        this.probes = probes;
        this.transport = transport;
    }

    @Override
    public void accept(Action action) {
        if (action instanceof Dispatch dispatch) {
            attempts.dispatch(dispatch);
        } else if (action instanceof Reject reject) {
            reject(reject);
        } else if (action instanceof Fail fail) {
            fail(fail);
        } else if (action instanceof Cancel cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof Action.Probe probe) {
            probes.send(probe.endpoint());
        } else if (action instanceof SendToPeer message) {
            transport.sendToPeer(message.rank(), message.data());
        } else if (action instanceof SetTimer timer) {
            setTimer(timer);
        }
    }

    private void reject(Reject reject) {
        InFlightRequest inFlight = table.get(reject.id());
        if (inFlight != null) {
            answers.reject(inFlight, ModuleTime.toMillis(reject.retryAfterNanos()));
        }
    }

    private void fail(Fail fail) {
        InFlightRequest inFlight = table.get(fail.id());
        if (inFlight != null) {
            answers.fail(inFlight, "given up");
        }
    }

    private void setTimer(SetTimer timer) {
        double dueAt = loop.nowMillis() + ModuleTime.toMillis(timer.delayNanos());
        loop.schedule(dueAt, () -> loop.addEvent(new Timer(timer.name())));
    }
}
