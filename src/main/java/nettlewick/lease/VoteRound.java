package nettlewick.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * One request of a candidate to all voters: its number, when and how often it was sent, and who has answered. Times
 * are milliseconds of the candidate's clock. Pure; belongs to its candidate's thread.
 */
final class VoteRound {
    private final List<Integer> voters;
    private final Map<Integer, LeaseMessage> answers = new HashMap<>();
    private LeaseMessage request;
    private long requestId;
    private double startedAtMillis;
    private int transmissions;

    /** @param firstRequestId numbers of requests are counted up from here */
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

    /** Ends the former request, so that late answers to it no longer count; the number for the next one. */
    long close() {
        answers.clear();
        requestId++;
        return requestId;
    }

    /** Sends a request that carries the number that {@link #close} has given. */
    List<Outgoing> start(LeaseMessage newRequest, double nowMillis) {
        request = newRequest;
        startedAtMillis = nowMillis;
        transmissions = 0;
        return transmit();
    }

    /** The same request to all voters that have not answered it; the start of the round stays. */
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

    /** Counts each voter once. */
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

    /** When the request was first sent: a lease counts from then, so that no voter's grant ends before it. */
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
