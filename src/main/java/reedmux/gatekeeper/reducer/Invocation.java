package reedmux.gatekeeper.reducer;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * A consumer's request as the reducer tracks it. Besides the data that decisions need, it carries two objects that are
 * opaque to the reducer: the message for the provider and the sink for the answer. Each protocol implements both. Times
 * are in microseconds. Once accepted, an invocation is owned by the reducer's thread.
 */
public final class Invocation {

    /** The message that is forwarded unchanged to a provider. It is opaque to all but the protocol that created it. */
    public interface RequestMessage {

        /** Returns the memory used by this message in bytes, excluding the fixed overhead of each message. */
        default int sizeBytes() {
            return 0;
        }

        /**
         * Returns whether the whole message can still be sent, including to a different provider than in earlier
         * attempts.
         */
        default boolean isSendable() {
            return true;
        }

        /** Returns whether the body may still be arriving from the consumer. */
        default boolean isStreaming() {
            return false;
        }
    }

    /** Receives the final answer of an invocation. */
    public interface AnswerSink {
        /** Sends the answer to the consumer. Called at most once. */
        void send(FinalAnswer answer);
    }

    final IncomingRequest request;
    final boolean idempotent;
    final RequestMessage message;
    final AnswerSink answerSink;
    final List<UpstreamCall> calls = new ArrayList<>(2);
    /** Whether the invocation was answered, or its consumer no longer waits for an answer. */
    boolean closed;
    /** Whether the policy threw an exception while it handled an event of this invocation. */
    boolean policyFailed;

    ReducerTimer deadlineTimer;
    /** The time until which the consumer waits for the answer. */
    long deadlineAt;
    /** The time at which the request body was complete if the body arrived after the head, otherwise 0. */
    long bodyCompletedAt;

    long acceptedAt;
    /** Whether another region forwarded this request. */
    boolean remote;
    /** Whether the failover policy was already informed how this region served the request. */
    boolean localResultRecorded;
    /** The time at which the service admitted the invocation, or -1 if admission control does not count it. */
    private long admittedAt = -1;

    /**
     * Creates an invocation that is not accepted yet.
     *
     * @param idempotent whether running the request twice has the same effect as running it once
     */
    public Invocation(IncomingRequest request, boolean idempotent, RequestMessage message, AnswerSink answerSink) {
        this.request = request;
        this.idempotent = idempotent;
        deadlineAt = request.deadline();
        this.message = message;
        this.answerSink = answerSink;
    }

    /**
     * Returns the time at which the service admitted the invocation, in microseconds, or -1 if admission control does
     * not count it.
     */
    public long admittedAt() {
        return admittedAt;
    }

    /** Sets the time at which the service admitted the invocation, in microseconds, or -1 to clear it. */
    public void admittedAt(long admittedAt) {
        this.admittedAt = admittedAt;
    }

    /** Returns the request id, which is unique among the invocations in flight. */
    public String id() {
        return request.id();
    }

    /** Returns the index of the request class in the settings. */
    public int requestClass() {
        return request.requestClass();
    }

    /** Returns the units that the request consumes from the customer's quota. */
    public double units() {
        return request.units();
    }

    /** Returns whether another region forwarded this request. */
    public boolean remote() {
        return remote;
    }

    /** Returns the message for the provider. */
    public RequestMessage message() {
        return message;
    }

    /** Returns the sink for the final answer. */
    public AnswerSink answerSink() {
        return answerSink;
    }

    /** Returns whether the invocation is closed and all of its calls have ended. */
    boolean isComplete() {
        return closed && allCallsEnded();
    }

    boolean allCallsEnded() {
        return calls.stream().allMatch(call -> call.ended);
    }

    /** Returns whether all calls have ended and none of them ran the request, so that a retry is safe. */
    boolean neverRan() {
        return calls.stream().allMatch(call -> call.ended && call.neverRan);
    }
}
