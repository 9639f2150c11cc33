package reedmux.core;

import java.util.ArrayList;
import java.util.List;
import reedmux.policy.Gateway.Request;

/**
 * A consumer's request as the core knows it: what the decisions need, and two things that it only carries,
 * the message for a provider and the place where the answer goes. A second protocol brings its own of both.
 */
public final class Invocation {

    /** A message that goes to a provider as it came; only the protocol that made it looks inside. */
    public interface Message {

        /** Bytes that it keeps in memory, as far as they differ from one message to the next. */
        default int size() {
            return 0;
        }

        /** Whether all of it could be sent now, to another provider than before too. */
        default boolean sendable() {
            return true;
        }

        /** Whether it may still be coming in. */
        default boolean flows() {
            return false;
        }
    }

    /** Where the one final answer goes. */
    public interface Reply {
        void send(Answer answer);
    }

    final Request request;
    final boolean repeatable;
    final Message message;
    final Reply reply;
    final List<InvokerCall> calls = new ArrayList<>(2);
    boolean over;
    /** Whether a decision on it has thrown. */
    boolean faulty;

    Timer deadline;
    /** When its consumer gives up, and when its body was whole if it came in behind it, else nought. */
    long deadlineAt;

    long wholeAt;
    /** When it was taken, in microseconds; whether another region sent it; whether its service is noted. */
    long takenAt;

    boolean visitor;
    boolean judged;
    /** When its pool let it in, in microseconds; -1 where nobody counts it. */
    private long admittedAt = -1;

    public Invocation(Request request, boolean repeatable, Message message, Reply reply) {
        this.request = request;
        this.repeatable = repeatable;
        deadlineAt = request.deadline();
        this.message = message;
        this.reply = reply;
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
    public boolean visitor() {
        return visitor;
    }

    public Message message() {
        return message;
    }

    public Reply reply() {
        return reply;
    }

    boolean settled() {
        return over && callsEnded();
    }

    boolean callsEnded() {
        return calls.stream().allMatch(call -> call.ended);
    }

    /** Whether every call made for it is known never to have run, so that a repeat is harmless. */
    boolean neverRan() {
        return calls.stream().allMatch(call -> call.ended && call.neverRan);
    }
}
