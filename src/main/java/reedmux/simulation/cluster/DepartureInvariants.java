package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The invariants of requests whose client disconnected before the response (rule GONE). Such requests no longer reach a
 * checker, and executions of idempotent ones are cancelled. Executions of other requests that have begun run to their
 * end, because a partial effect is worse than a complete one. Times are microseconds.
 */
final class DepartureInvariants {
    private static final int MICROS_PER_MILLI = 1000;
    /** How long after a client disconnects its requests may take to be cancelled everywhere. */
    private static final long DEFAULT_LIMIT_MICROS = 500 * MICROS_PER_MILLI;

    private static final long RUNNING = Long.MAX_VALUE;

    /** An execution of a request by a checker. */
    private static final class Execution {
        private final String checker;
        private long endedAt = RUNNING;

        private Execution(String checker) {
            this.checker = checker;
        }
    }

    private record Departure(String proxy, boolean idempotent, long leftAt) {}

    /** An event too long after the client disconnected; it is a violation unless the proxy had a fault meanwhile. */
    private record LateEvent(Departure departure, long at, String description) {}

    private final FaultSchedule faults;
    private final ViolationLog log;
    private final Map<String, Departure> departures = new HashMap<>();
    private final Map<String, List<Execution>> executions = new HashMap<>();
    private final List<LateEvent> lateEvents = new ArrayList<>();
    private long limitMicros = DEFAULT_LIMIT_MICROS;
    private int cancelled;
    private int completedEffects;
    private int abortedEffects;

    DepartureInvariants(FaultSchedule faults, ViolationLog log) {
        this.faults = faults;
        this.log = log;
    }

    /** Sets how long a request may continue after its client has disconnected. */
    void setLimit(long micros) {
        limitMicros = micros;
    }

    /** Records that a client closes its connection, or one direction of it, before it has received a response. */
    void onClientLeft(String id, String proxy, boolean idempotent, long now) {
        departures.putIfAbsent(id, new Departure(proxy, idempotent, now));
    }

    /** Records a late event if a request arrives at a checker too long after its client disconnected. */
    void onArrived(String id, String checker, long now) {
        Departure departure = departures.get(id);
        if (departure != null && isLate(departure, now)) {
            lateEvents.add(new LateEvent(departure, now, id + " arrives at " + checker));
        }
    }

    void onExecutionBegun(String id, String checker) {
        executions.computeIfAbsent(id, key -> new ArrayList<>()).add(new Execution(checker));
    }

    /** Handles an execution that completed, or that the checker aborted. */
    void onExecutionEnded(String id, String checker, boolean completed, long now) {
        Departure departure = departures.get(id);
        if (departure != null && !departure.idempotent) {
            completedEffects += completed ? 1 : 0;
            abortedEffects += completed ? 0 : 1;
        }
        for (Execution execution : executions.getOrDefault(id, List.of())) {
            if (execution.checker.equals(checker) && execution.endedAt == RUNNING) {
                execution.endedAt = now;
                classifyExecution(id, execution, now);
            }
        }
    }

    /** Returns how many executions of idempotent requests ended in time after their client disconnected. */
    int cancelledCount() {
        return cancelled;
    }

    /** Returns how many executions of non-idempotent requests completed after their client disconnected. */
    int completedEffectCount() {
        return completedEffects;
    }

    /** Returns how many executions of non-idempotent requests were aborted after their client disconnected. */
    int abortedEffectCount() {
        return abortedEffects;
    }

    /** Reports the late events that no fault explains; call after the last event, when all faults are known. */
    void report(long now) {
        executions.forEach((id, all) -> all.stream()
                .filter(execution -> execution.endedAt == RUNNING)
                .forEach(execution -> classifyExecution(id, execution, now)));
        for (LateEvent event : lateEvents) {
            Departure departure = event.departure;
            if (faults.isInContact(departure.proxy, departure.leftAt, event.at)) {
                log.report("GONE", event.description + ' ' + describe(departure, event.at));
            }
        }
    }

    private void classifyExecution(String id, Execution execution, long now) {
        Departure departure = departures.get(id);
        if (departure == null || !departure.idempotent) {
            return;
        }
        if (!isLate(departure, now)) {
            cancelled++;
        } else {
            lateEvents.add(new LateEvent(departure, now, execution.checker + " executes " + id));
        }
    }

    private boolean isLate(Departure departure, long now) {
        return now > departure.leftAt + limitMicros;
    }

    private static String describe(Departure departure, long now) {
        return (now - departure.leftAt) / MICROS_PER_MILLI + " ms after its client disconnected from " + departure.proxy
                + (departure.idempotent ? "" : "; it is not idempotent");
    }
}
