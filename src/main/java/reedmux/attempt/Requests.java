package reedmux.attempt;

import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import reedmux.budget.RetryBudget;
import reedmux.choice.Checker;
import reedmux.choice.Roster;
import reedmux.item.Route;

/**
 * The one place where a request's state changes: it waits for a checker, is sent to one, perhaps to a
 * further one, and has one final answer. Pure: what is to be done is told to {@link Effects}, at once.
 */
public final class Requests {
    private static final long MILLI = 1000;
    /** A connection that is not up by then has met a machine that is not there. */
    private static final long CONNECT = 300 * MILLI;
    /** A checker ends a request at the time that it was told; who says nothing by then will never. */
    private static final long LAST = 400 * MILLI;

    private static final int MOST_UNREACHED = 4;
    private static final int MOST_WAITING = 256;
    /** Less than this before its end a request is not sent again. */
    private static final long LEAST_LEFT = 20 * MILLI;
    /** Of its aim, how long a request may wait for a checker, and when a repeatable one is slow. */
    private static final double WAIT = 0.2;

    private static final double SLOW = 0.55;
    private static final long BACK = 120 * MILLI;
    private static final int SERVER_ERROR = 500;

    /** What is to be done. */
    public interface Effects {

        /** Sends; ends as {@link Event.Ended}. */
        void send(Try what);

        /** Closes the connection of a sending, whatever has become of it; the end comes as an event. */
        void giveUp(Try what);

        void answer(Exchange exchange, Answer answer);

        /** The request is over and was never run: what was counted for it is free. */
        void neverRan(Exchange exchange);

        /** Comes back with an event at a time. */
        void later(long at, Event event);
    }

    private final Effects effects;
    private final Roster roster;
    private final RetryBudget budget;
    private final Random random;
    private long now;
    private long arrivals;
    private final TreeSet<Waiting> waiting = new TreeSet<>((one, other) -> one.priority != other.priority
            ? Integer.compare(one.priority, other.priority)
            : Long.compare(one.number, other.number));

    private record Waiting(int priority, long number, Exchange exchange) {}

    public Requests(Effects effects, Roster roster, RetryBudget budget, long seed) {
        this.effects = effects;
        this.roster = roster;
        this.budget = budget;
        random = new Random(seed);
    }

    /** Takes in one event. */
    public void on(long time, Event event) {
        now = time;
        if (event instanceof Event.Taken taken) {
            taken(taken.exchange());
        } else if (event instanceof Event.Ended ended) {
            ended(ended.what(), ended.verdict(), ended.answer());
        } else if (event instanceof Event.ConnectOverdue overdue) {
            if (!overdue.what().over() && !overdue.what().up()) {
                effects.giveUp(overdue.what());
            }
        } else if (event instanceof Event.TryOverdue overdue) {
            if (!overdue.what().over()) {
                effects.giveUp(overdue.what());
            }
        } else if (event instanceof Event.Slow slow) {
            slow(slow.exchange());
        } else if (event instanceof Event.WaitOver over) {
            if (over.exchange().state == Exchange.State.WAITING) {
                refuse(over.exchange(), "no checker has room");
            }
        } else if (event instanceof Event.DeadlinePassed passed) {
            deadline(passed.exchange());
        } else if (event instanceof Event.ClientLeft left) {
            left(left.exchange());
        } else if (event instanceof Event.Ending) {
            while (!waiting.isEmpty()) {
                refuse(waiting.first().exchange(), "this process ends");
            }
        } else {
            room();
        }
    }

    private void taken(Exchange exchange) {
        exchange.plant = plant(exchange.route());
        effects.later(exchange.deadline(), new Event.DeadlinePassed(exchange));
        if (!place(exchange, false)) {
            await(exchange);
        }
    }

    /** Draws a service by the gains of a route's split, of those that have checkers at all. */
    private String plant(Route route) {
        List<Route.Part> parts = route.parts();
        double sum = 0;
        boolean any = parts.stream().anyMatch(part -> part.gain() > 0 && roster.serves(part.plant()));
        for (Route.Part part : parts) {
            sum += !any || roster.serves(part.plant()) ? part.gain() : 0;
        }
        double drawn = random.nextDouble() * sum;
        String last = parts.get(0).plant();
        for (Route.Part part : parts) {
            if (part.gain() > 0 && (!any || roster.serves(part.plant()))) {
                last = part.plant();
                drawn -= part.gain();
                if (drawn < 0) {
                    break;
                }
            }
        }
        return last;
    }

    private long patience(Route route) {
        return (long) Math.max(400 * MILLI, 5 * roster.usual(route.name(), 100 * MILLI));
    }

    /** Sends a request to a checker if one can take it; {@code further}: it was sent before. */
    private boolean place(Exchange exchange, boolean further) {
        Checker checker = roster.choose(
                exchange.plant, exchange.tried, exchange.source().large(), patience(exchange.route()), now);
        if (checker == null) {
            return false;
        }
        leaveQueue(exchange);
        exchange.state = Exchange.State.TRYING;
        exchange.tried.add(checker.id());
        if (!further) {
            budget.first(exchange.plant);
            if (exchange.route().repeatable() && exchange.route().attempts() > 1) {
                effects.later(now + (long) (SLOW * exchange.route().aim()), new Event.Slow(exchange));
            }
        }
        Try made = new Try(exchange, checker, now);
        exchange.live.add(made);
        exchange.sent++;
        checker.begun(now);
        effects.later(now + CONNECT, new Event.ConnectOverdue(made));
        effects.later(exchange.deadline() + LAST, new Event.TryOverdue(made));
        effects.send(made);
        return true;
    }

    private void await(Exchange exchange) {
        exchange.state = Exchange.State.WAITING;
        exchange.number = ++arrivals;
        waiting.add(new Waiting(exchange.priority(), exchange.number, exchange));
        effects.later(now + (long) (WAIT * exchange.route().aim()), new Event.WaitOver(exchange));
        if (waiting.size() > MOST_WAITING) {
            refuse(waiting.last().exchange(), "too many requests wait");
        }
    }

    /** Only who waits is in the queue: an answer to who has had one would be another request's. */
    private void leaveQueue(Exchange exchange) {
        if (exchange.state == Exchange.State.WAITING) {
            waiting.remove(new Waiting(exchange.priority(), exchange.number, exchange));
        }
    }

    private void room() {
        for (Waiting next = waiting.isEmpty() ? null : waiting.first(); next != null; next = waiting.higher(next)) {
            Exchange exchange = next.exchange();
            place(exchange, exchange.sent + exchange.unreached > 0);
        }
    }

    private void ended(Try what, Verdict verdict, Answer.OfChecker answer) {
        if (what.over()) {
            return;
        }
        what.end();
        Exchange exchange = what.exchange();
        Checker checker = what.checker();
        exchange.live.remove(what);
        checker.ended(now);
        if (verdict == Verdict.RAN) {
            roster.answered(checker, exchange.route().name(), now - what.begunAt(), now);
        } else if (answer != null) {
            checker.full(now);
            if (answer.head().status() == 421) {
                checker.gone();
            }
        } else {
            checker.failed(now);
        }
        exchange.mayHaveRun |= verdict != Verdict.NOT_RUN;
        if (verdict == Verdict.NOT_RUN) {
            exchange.sent -= what.up() ? 0 : 1;
            exchange.unreached += what.up() ? 0 : 1;
        }
        if (exchange.state != Exchange.State.OVER) {
            goOn(exchange, what, verdict, answer);
        }
        room();
    }

    private void goOn(Exchange exchange, Try what, Verdict verdict, Answer.OfChecker answer) {
        boolean failed = verdict != Verdict.RAN || answer.head().status() >= SERVER_ERROR;
        if (!failed) {
            over(exchange, answer);
            return;
        } else if (!exchange.live.isEmpty()) {
            return; // another one is still under way
        }
        boolean may = verdict.safe() || exchange.route().repeatable();
        if (may && exchange.source().sendable() && now + LEAST_LEFT < exchange.deadline() && again(exchange, what)) {
            return;
        }
        if (verdict == Verdict.RAN) {
            over(exchange, answer);
        } else if (!exchange.mayHaveRun) {
            refuse(exchange, "no checker could take it");
        } else {
            over(exchange, new Answer.Own(502, "a checker broke off", -1));
        }
    }

    /** Sends a request to a further checker, where it may be. */
    private boolean again(Exchange exchange, Try last) {
        boolean arrived = last.up();
        if (arrived && (exchange.sent >= exchange.route().attempts() || !budget.has(exchange.plant, 0))
                || exchange.unreached > MOST_UNREACHED) {
            return false;
        }
        if (!place(exchange, true)) {
            return false;
        }
        if (arrived) {
            budget.take(exchange.plant);
        }
        return true;
    }

    /** A copy at a second checker, while the first one is awaited. */
    private void slow(Exchange exchange) {
        if (exchange.state == Exchange.State.TRYING
                && exchange.live.size() == 1
                && exchange.source().whole()
                && exchange.sent < exchange.route().attempts()
                && budget.has(exchange.plant, 1)
                && now + LEAST_LEFT < exchange.deadline()
                && place(exchange, true)) {
            budget.take(exchange.plant);
        }
    }

    private void deadline(Exchange exchange) {
        if (exchange.state == Exchange.State.WAITING) {
            refuse(exchange, "no checker has room");
        } else if (exchange.state == Exchange.State.TRYING && exchange.neverOffered()) {
            List.copyOf(exchange.live).forEach(effects::giveUp); // refused as that is over
        } else if (exchange.state != Exchange.State.OVER) {
            over(exchange, new Answer.Own(504, "no answer in time", -1));
            endUnfinished(exchange);
        }
    }

    /** What its client has not sent whole never runs, and nobody will send the rest. */
    private void endUnfinished(Exchange exchange) {
        if (!exchange.source().whole()) {
            List.copyOf(exchange.live).forEach(effects::giveUp);
        }
    }

    private void left(Exchange exchange) {
        if (exchange.state != Exchange.State.OVER) {
            boolean free = exchange.neverRan();
            leaveQueue(exchange);
            exchange.state = Exchange.State.OVER;
            if (free) {
                effects.neverRan(exchange);
            }
            endUnfinished(exchange);
        }
    }

    private void refuse(Exchange exchange, String why) {
        if (exchange.mayHaveRun) {
            over(exchange, new Answer.Own(502, why, -1));
            return;
        }
        effects.neverRan(exchange);
        over(exchange, new Answer.Own(503, why, BACK + (long) (random.nextDouble() * 2 * BACK)));
    }

    private void over(Exchange exchange, Answer answer) {
        leaveQueue(exchange);
        exchange.state = Exchange.State.OVER;
        effects.answer(exchange, sound(answer));
    }

    /** A status that promises that a request was not run is passed on only where the checker has said so. */
    private static Answer sound(Answer answer) {
        if (answer instanceof Answer.OfChecker told && !told.notRun()) {
            int status = told.head().status();
            if (status == 429 || status == 503 || status == 408 || status == 421) {
                return new Answer.Own(502, "a checker failed", -1);
            }
        }
        return answer;
    }
}
