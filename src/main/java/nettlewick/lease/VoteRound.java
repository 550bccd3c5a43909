package nettlewick.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * One request of a candidate to all voters: its id, when and how often it was sent, and which voters have answered.
 * Times are milliseconds of the candidate's clock. Does no I/O; confined to the candidate's thread.
 */
final class VoteRound {
    private final List<Integer> voters;
    private final Map<Integer, LeaseMessage> answers = new HashMap<>();
    private LeaseMessage request;
    private long requestId;
    private double startedAtMillis;
    private int transmissions;

    /** @param firstRequestId request ids count up from this one */
    VoteRound(List<Integer> voters, long firstRequestId) {
        this.voters = voters;
        requestId = firstRequestId;
    }

    VoteRound copy() {
        VoteRound copy = new VoteRound(voters, requestId);
        copy.answers.putAll(answers);
        copy.request = request;
        copy.startedAtMillis = startedAtMillis;
        copy.transmissions = transmissions;
        return copy;
    }

    /** Ends the current request, so that late answers to it no longer count, and returns the id of the next request. */
    long close() {
        answers.clear();
        requestId++;
        return requestId;
    }

    /** Starts a request, which must have the id that {@link #close} returned, and returns the messages to send. */
    List<Outgoing> start(LeaseMessage newRequest, double nowMillis) {
        request = newRequest;
        startedAtMillis = nowMillis;
        transmissions = 0;
        return transmit();
    }

    /** Sends the request again to all voters that have not answered it; {@link #startedAtMillis} does not change. */
    List<Outgoing> transmit() {
        transmissions++;
        List<Outgoing> out = new ArrayList<>();
        for (int voter : voters) {
            if (!answers.containsKey(voter)) {
                out.add(new Outgoing(voter, request));
            }
        }
        return out;
    }

    boolean isAnsweredBy(LeaseMessage message) {
        return message.requestId() == requestId;
    }

    /** Adds an answer; a voter that answers twice counts once. */
    void addAnswer(LeaseMessage message) {
        answers.put(message.sender(), message);
    }

    int answerCount() {
        return answers.size();
    }

    Collection<LeaseMessage> answers() {
        return answers.values();
    }

    Set<Integer> answeredVoters() {
        return answers.keySet();
    }

    /** When the request was first sent. A lease starts at this time, so that it ends before any voter's grant does. */
    double startedAtMillis() {
        return startedAtMillis;
    }

    int transmissions() {
        return transmissions;
    }

    long requestId() {
        return requestId;
    }
}
