package reedmux.gatekeeper.reducer;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * A consumer's request as the core knows it: what the decisions need, and two things that it only carries,
 * the message for a provider and the place where the answer goes. A second protocol brings its own of both.
 */
public final class Invocation {

    /** A message that goes to a provider as it came; only the protocol that made it looks inside. */
    public interface RequestMessage {

        /** Bytes that it keeps in memory, as far as they differ from one message to the next. */
        default int sizeBytes() {
            return 0;
        }

        /** Whether all of it could be sent now, to another provider than before too. */
        default boolean isSendable() {
            return true;
        }

        /** Whether it may still be coming in. */
        default boolean isStreaming() {
            return false;
        }
    }

    /** Where the one final answer goes. */
    public interface AnswerSink {
        void send(FinalAnswer answer);
    }

    final IncomingRequest request;
    final boolean repeatable;
    final RequestMessage message;
    final AnswerSink answerSink;
    final List<UpstreamCall> calls = new ArrayList<>(2);
    boolean closed;
    /** Whether a decision on it has thrown. */
    boolean policyFailed;

    ReducerTimer deadlineTimer;
    /** When its consumer gives up, and when its body was whole if it came in behind it, else nought. */
    long deadlineAt;

    long bodyCompletedAt;
    /** When it was taken, in microseconds; whether another region sent it; whether its service is noted. */
    long acceptedAt;

    boolean remote;
    boolean serviceRecorded;
    /** When its pool let it in, in microseconds; -1 where nobody counts it. */
    private long admittedAt = -1;

    public Invocation(IncomingRequest request, boolean repeatable, RequestMessage message, AnswerSink reply) {
        this.request = request;
        this.repeatable = repeatable;
        deadlineAt = request.deadline();
        this.message = message;
        this.answerSink = reply;
    }

    /** When its pool let it in, in microseconds; -1 where nobody counts it. */
    public long admittedAt() {
        return admittedAt;
    }

    public void admittedAt(long at) {
        admittedAt = at;
    }

    public String id() {
        return request.id();
    }

    /** The number of its class in the settings. */
    public int requestClass() {
        return request.requestClass();
    }

    /** The units that it takes from its customer's quota. */
    public double units() {
        return request.units();
    }

    /** Whether another region sent it. */
    public boolean remote() {
        return remote;
    }

    public RequestMessage message() {
        return message;
    }

    public AnswerSink answerSink() {
        return answerSink;
    }

    boolean isSettled() {
        return closed && allCallsEnded();
    }

    boolean allCallsEnded() {
        return calls.stream().allMatch(call -> call.ended);
    }

    /** Whether every call made for it is known never to have run, so that a repeat is harmless. */
    boolean neverRan() {
        return calls.stream().allMatch(call -> call.ended && call.neverRan);
    }
}
