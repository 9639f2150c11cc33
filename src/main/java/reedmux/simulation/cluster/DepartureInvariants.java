package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What holds for requests whose client has left without a response: rule GONE. Nothing of them reaches a checker any
 * more, and the idempotent ones are no longer executed. Others are executed to their end once they have begun, as a
 * part of an effect is worse than a whole one. Times are microseconds.
 */
final class DepartureInvariants {
    private static final int MICROS_PER_MILLI = 1000;
    /** From a client's departure until its requests are cancelled everywhere. */
    private static final long DEFAULT_LIMIT_MICROS = 500 * MICROS_PER_MILLI;

    private static final long RUNNING = Long.MAX_VALUE;

    /** The execution of a request by one checker. */
    private static final class Execution {
        private final String checker;
        private long endedAt = RUNNING;

        private Execution(String checker) {
            this.checker = checker;
        }
    }

    private record Departure(String proxy, boolean idempotent, long leftAt) {}

    /** Something that happened too late, unless the proxy had a fault meanwhile. */
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

    /** Sets how long a request may go on after its client has left. */
    void setLimit(long micros) {
        limitMicros = micros;
    }

    /** A client has closed its connection, or one direction of it, while its request had no response. */
    void onClientLeft(String id, String proxy, boolean idempotent, long now) {
        departures.putIfAbsent(id, new Departure(proxy, idempotent, now));
    }

    /** A request has reached a checker. */
    void onArrived(String id, String checker, long now) {
        Departure departure = departures.get(id);
        if (departure != null && isLate(departure, now)) {
            lateEvents.add(new LateEvent(departure, now, id + " reaches " + checker));
        }
    }

    void onExecutionBegun(String id, String checker) {
        executions.computeIfAbsent(id, key -> new ArrayList<>()).add(new Execution(checker));
    }

    /** An execution has come to its end, or the checker has dropped it. */
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

    /** Executions that ended in time after the departure of their client. */
    int cancelledCount() {
        return cancelled;
    }

    /** Executions of requests that are not idempotent which came to their end after the departure of their client. */
    int completedEffectCount() {
        return completedEffects;
    }

    /** Such executions that were cut, as their connection was closed. */
    int abortedEffectCount() {
        return abortedEffects;
    }

    /** After the last event, when all faults are known: reports what was late without one. */
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
            lateEvents.add(new LateEvent(departure, now, execution.checker + " works on " + id));
        }
    }

    private boolean isLate(Departure departure, long now) {
        return now > departure.leftAt + limitMicros;
    }

    private static String describe(Departure departure, long now) {
        return (now - departure.leftAt) / MICROS_PER_MILLI + " ms after its client left " + departure.proxy
                + (departure.idempotent ? "" : "; it is not idempotent");
    }
}
