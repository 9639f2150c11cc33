package reedmux.gatekeeper.reducer;

import java.util.HashMap;
import java.util.Map;

/**
 * The invocations in flight. An invocation is kept from its acceptance until it is closed and all of its calls have
 * ended. The table ensures that each invocation is closed once and gets at most one answer.
 */
final class InvocationTable {
    private final ReducerContext context;
    private final Map<String, Invocation> invocations = new HashMap<>();
    private int unansweredCount;

    InvocationTable(ReducerContext context) {
        this.context = context;
    }

    /** Returns the invocation with the given id, or null if no such invocation is in flight. */
    Invocation find(String id) {
        return invocations.get(id);
    }

    boolean contains(Invocation invocation) {
        return invocations.get(invocation.id()) == invocation;
    }

    boolean isEmpty() {
        return invocations.isEmpty();
    }

    int unansweredCount() {
        return unansweredCount;
    }

    /** Adds an invocation. Returns false if another invocation with the same id is in flight. */
    boolean add(Invocation invocation) {
        if (invocations.putIfAbsent(invocation.id(), invocation) != null) {
            return false;
        }
        unansweredCount++;
        return true;
    }

    /** Closes the invocation and sends the final answer, unless the invocation is already closed. */
    void answer(Invocation invocation, FinalAnswer answer) {
        if (!invocation.closed) {
            close(invocation);
            if (context.regions != null) {
                context.regions.onAnswered(invocation, answer, context.now);
            }
            context.effects.sendAnswer(invocation, answer);
        }
    }

    /** Closes the invocation when it is answered or its consumer no longer waits for an answer. */
    void close(Invocation invocation) {
        invocation.closed = true;
        invocation.deadlineTimer.cancel();
        unansweredCount--;
        if (context.regions != null) {
            context.regions.onClosed(invocation);
        }
        context.effects.onInvocationClosed(invocation);
    }

    /** Aborts a call. Its end is reported by {@link ReducerEvent.CallEnded}, as for any other call. */
    void abort(UpstreamCall call, UpstreamCall.StopReason reason) {
        if (!call.ended && call.stopReason == UpstreamCall.StopReason.NONE) {
            call.stopReason = reason;
            context.effects.abortCall(call);
        }
    }

    /** Removes the invocation if it is closed and all of its calls have ended. */
    void removeIfComplete(Invocation invocation) {
        if (invocation.isComplete()) {
            invocations.remove(invocation.id(), invocation);
        }
    }
}
