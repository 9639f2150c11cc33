package reedmux.gatekeeper.reducer;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * A consumer's request as the reducer knows it: what the decisions need, and two things that it only carries, the
 * message for a provider and the sink of the answer. Each protocol brings its own of both. Times are in microseconds.
 * Owned by the reducer's thread once it is accepted.
 */
public final class Invocation {

    /** The message that goes to a provider as it came; only the protocol that made it looks inside. */
    public interface RequestMessage {

        /** Bytes of memory that it takes, without what all messages have in common. */
        default int sizeBytes() {
            return 0;
        }

        /** Whether all of it could be sent now, also to another provider than before. */
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
        /** Sends the answer to the consumer; called once at most. */
        void send(FinalAnswer answer);
    }

    final IncomingRequest request;
    final boolean idempotent;
    final RequestMessage message;
    final AnswerSink answerSink;
    final List<UpstreamCall> calls = new ArrayList<>(2);
    /** Whether it has its answer, or nobody waits for one any more. */
    boolean closed;
    /** Whether the policy has thrown an exception at it. */
    boolean policyFailed;

    ReducerTimer deadlineTimer;
    /** Until when its consumer waits. */
    long deadlineAt;
    /** When its body was complete if that came in behind its head, else 0. */
    long bodyCompletedAt;

    long acceptedAt;
    /** Whether another region sent it. */
    boolean remote;
    /** Whether the decisions on regions know how it was served. */
    boolean localResultRecorded;
    /** When its service admitted it; -1 where nobody counts it. */
    private long admittedAt = -1;

    /**
     * An invocation that has not been accepted yet.
     *
     * @param idempotent whether a repeat has no second effect
     */
    public Invocation(IncomingRequest request, boolean idempotent, RequestMessage message, AnswerSink answerSink) {
        this.request = request;
        this.idempotent = idempotent;
        deadlineAt = request.deadline();
        this.message = message;
        this.answerSink = answerSink;
    }

    /** When its service admitted it, in microseconds; -1 where nobody counts it. */
    public long admittedAt() {
        return admittedAt;
    }

    /** Notes when its service admitted it, in microseconds. */
    public void admittedAt(long at) {
        admittedAt = at;
    }

    /** The request's id, which no other invocation under way has. */
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

    /** What goes to a provider. */
    public RequestMessage message() {
        return message;
    }

    /** Where its answer goes. */
    public AnswerSink answerSink() {
        return answerSink;
    }

    boolean isComplete() {
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
