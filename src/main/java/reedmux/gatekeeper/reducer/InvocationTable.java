package reedmux.gatekeeper.reducer;

import java.util.HashMap;
import java.util.Map;

/**
 * The invocations under way, from their acceptance until each has its answer and all of its calls have ended. It sees
 * to it that each is closed once, with at most one answer.
 */
final class InvocationTable {
    private final ReducerContext context;
    private final Map<String, Invocation> invocations = new HashMap<>();
    private int unansweredCount;

    InvocationTable(ReducerContext context) {
        this.context = context;
    }

    /** The invocation of that id, or null where none is under way. */
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

    /** Adds an invocation; returns false where another one of its id is under way. */
    boolean add(Invocation invocation) {
        if (invocations.putIfAbsent(invocation.id(), invocation) != null) {
            return false;
        }
        unansweredCount++;
        return true;
    }

    /** Gives the final answer, unless the invocation is closed already. */
    void answer(Invocation invocation, FinalAnswer answer) {
        if (!invocation.closed) {
            close(invocation);
            if (context.regions != null) {
                context.regions.onAnswered(invocation, answer, context.now);
            }
            context.effects.sendAnswer(invocation, answer);
        }
    }

    /** Nobody waits for an answer any more. */
    void close(Invocation invocation) {
        invocation.closed = true;
        invocation.deadlineTimer.cancel();
        unansweredCount--;
        if (context.regions != null) {
            context.regions.onClosed(invocation);
        }
        context.effects.onInvocationClosed(invocation);
    }

    /** Stops waiting for a call, which then ends as any other. */
    void abort(UpstreamCall call, UpstreamCall.StopReason reason) {
        if (!call.ended && call.stopReason == UpstreamCall.StopReason.NONE) {
            call.stopReason = reason;
            context.effects.abortCall(call);
        }
    }

    void removeIfComplete(Invocation invocation) {
        if (invocation.isComplete()) {
            invocations.remove(invocation.id(), invocation);
        }
    }
}
