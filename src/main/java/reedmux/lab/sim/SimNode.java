package reedmux.lab.sim;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reedmux.core.Answer;
import reedmux.core.CallResult;
import reedmux.core.CallResult.Stage;
import reedmux.core.Clock;
import reedmux.core.Effects;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.core.InvokerCall;
import reedmux.core.ProviderList;
import reedmux.core.Reducer;
import reedmux.core.RegionDesk;
import reedmux.http.Front;
import reedmux.http.RegionFront;
import reedmux.lab.sim.World.LinkFault;
import reedmux.lab.sim.World.Planted;
import reedmux.policy.Brain;
import reedmux.policy.Gateway;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.Status;
import reedmux.region.Departure;
import reedmux.region.Path;
import reedmux.region.RegionRules;
import reedmux.region.Regions;

/**
 * A gatekeeper in virtual time: the production reducer with its module and region decisions, one life after
 * another. Sockets are modelled by when a call's last byte was written, which alone tells whether it may run.
 */
final class SimNode {
    private static final long CONNECT_TIMEOUT = 250 * World.MS;
    private static final InetSocketAddress NOWHERE = InetSocketAddress.createUnresolved("sim", 1);
    private static final Invocation.Message NOTHING = new Invocation.Message() {};

    private final World world;
    private final World.Region region;
    private final int number;
    private final long seed;
    private Incarnation life;
    private int lives;

    SimNode(World world, World.Region region, int number, long seed) {
        this.world = world;
        this.region = region;
        this.number = number;
        this.seed = seed;
    }

    /** As in histories. */
    String name() {
        return region.setup.name() + '/' + number;
    }

    boolean alive() {
        return life != null;
    }

    Regions regions() {
        return life.desk == null ? null : life.desk.regions();
    }

    int unanswered() {
        return life.reducer.unanswered();
    }

    void start() {
        if (life == null) {
            life = new Incarnation(seed + 1000L * ++lives);
            tellProviders();
        }
    }

    /** Dies as a process does: its connections are reset, and what it had taken is not answered. */
    void kill() {
        Incarnation dead = life;
        life = null;
        if (dead == null) {
            return;
        }
        dead.owed.forEach(world.ledger::excused);
        world.ledger.rules.restarted(world.time.now(), name());
        List.copyOf(dead.flights).forEach(flight -> flight.abandon());
        dead.visitors.values().forEach(visit -> visit.run());
    }

    void tellProviders() {
        if (life != null) {
            List<ProviderList.Provider> all = new ArrayList<>();
            region.providers.values().forEach(provider -> {
                Status status =
                        !provider.reachable() ? Status.GONE : provider.draining ? Status.DRAINING : Status.READY;
                all.add(new ProviderList.Provider(
                        new Server(
                                provider.id,
                                0,
                                0,
                                0,
                                status,
                                1,
                                world.planted == Planted.TELLS_NO_START ? 0 : provider.startedAt),
                        NOWHERE));
                world.ledger.rules.told(world.time.now(), name(), provider.id, status == Status.READY);
            });
            Incarnation told = life;
            Event list = new Event.ProvidersTold(new ProviderList(Scope.FULL, region.listRevision, all));
            if (world.planted == Planted.TELLS_DRAINS_LATE) {
                world.time.in(World.SECOND, () -> told.event(list));
            } else {
                told.event(list);
            }
        }
    }

    void reload(RegionRules rules) {
        if (life != null && life.desk != null) {
            life.event(new Event.RegionsTold(rules, addresses(rules)));
        }
    }

    private static Map<String, InetSocketAddress> addresses(RegionRules rules) {
        Map<String, InetSocketAddress> all = new HashMap<>();
        if (rules.away() != null) {
            rules.away().gateways().forEach(gateway -> all.put(gateway, NOWHERE));
        }
        return all;
    }

    Invocation take(String id, int kind, long customer, long deadline, double units) {
        return take(id, kind, customer, deadline, units, () -> {});
    }

    /** Takes a consumer's request; {@code then} is run when it has its answer. */
    Invocation take(String id, int kind, long customer, long deadline, double units, Runnable then) {
        Incarnation at = life;
        int spread = world.spread == 0 ? region.nodes.size() : world.spread;
        int first = world.spread == 0 ? 0 : (int) (customer % region.nodes.size());
        boolean alone = world.planted == Planted.WHOLE_CEILING_EACH;
        Request request = new Request(
                id,
                kind,
                region.settings[number].plans().indexOf(region.setup.plan(customer)),
                customer,
                deadline,
                units,
                alone ? 1 : spread,
                alone ? number : first,
                false);
        Invocation invocation = new Invocation(request, kind == 0, NOTHING, answer -> {
            at.owed.remove(id);
            if (world.planted == Planted.FORGETS_ANSWERS && answer instanceof Answer.Failed) {
                return;
            }
            world.ledger.answered(id, answer);
            if (world.planted == Planted.ANSWERS_TWICE && answer instanceof Answer.Rejection) {
                world.ledger.answered(id, answer);
            }
            then.run();
        });
        at.owed.add(id);
        at.event(new Event.InvocationTaken(invocation));
        return invocation;
    }

    void consumerLeaves(Invocation invocation) {
        if (life != null && life.owed.remove(invocation.id())) {
            world.ledger.excused(invocation.id());
            life.event(new Event.ConsumerLeft(invocation));
        }
    }

    /** One call under way, to a provider or to a gateway of another region. */
    private static final class Flight {
        final Incarnation from;
        final InvokerCall call;
        boolean written;
        boolean ended;
        /** Run where our side of the connection goes: the other side sees it end. */
        Runnable closed = () -> {};

        Flight(Incarnation from, InvokerCall call) {
            this.from = from;
            this.call = call;
            from.flights.add(this);
        }

        void end(CallResult result) {
            if (!ended) {
                ended = true;
                from.flights.remove(this);
                if (call.departure() == null) {
                    from.toldEnd(
                            call,
                            result instanceof CallResult.Answered answer
                                    ? answer.neverRan() && (answer.status() == 503 || answer.status() == 504)
                                    : !written);
                }
                from.event(new Event.CallEnded(call, result));
            }
        }

        void broken(String reason) {
            end(new CallResult.Broken(written ? Stage.ON_WIRE : Stage.WRITING, reason));
        }

        /** Our side has gone, without a word to a reducer that is no more. */
        void abandon() {
            ended = true;
            from.flights.remove(this);
            closed.run();
        }
    }

    /** One life of the process. */
    private final class Incarnation implements Effects {
        final Reducer reducer;
        final RegionDesk desk;
        final RegionFront front;
        final String name;
        final Set<String> owed = new TreeSet<>();
        final Set<Flight> flights = new LinkedHashSet<>();
        /** Visitors in work, each with what tells its home that our side has gone. */
        final Map<Invocation, Runnable> visitors = new HashMap<>();

        private long wakeAt = Long.MAX_VALUE;

        Incarnation(long chance) {
            long now = world.time.now();
            RegionRules rules = region.rules;
            name = rules == null ? region.setup.name() : rules.name();
            int members = world.planted == Planted.WHOLE_BUDGET_EACH ? 1 : region.settings.length;
            desk = rules == null
                    ? null
                    : new RegionDesk(
                            new Regions(rules, members, now, chance),
                            addresses(rules),
                            region.settings[number].classes().stream()
                                    .mapToLong(RequestClass::aim)
                                    .toArray());
            front = new RegionFront(region.settings[number], new Clock(), event -> {});
            reducer = new Reducer(new Brain(region.settings[number], chance), 4, CONNECT_TIMEOUT, this, desk);
        }

        void event(Event event) {
            if (life != this) {
                return;
            }
            reducer.reduce(world.time.now(), event);
            wake();
        }

        private void toldEnd(InvokerCall call, boolean neverRan) {
            world.ledger.rules.ended(world.time.now(), name(), call.invocation().id(), call.number(), neverRan);
        }

        private void wake() {
            long due = reducer.nextDue();
            if (due < wakeAt) {
                wakeAt = due;
                world.time.at(due, () -> {
                    if (life == this && wakeAt <= world.time.now()) {
                        wakeAt = Long.MAX_VALUE;
                        reducer.reduceDue(world.time.now());
                        wake();
                    }
                });
            }
        }

        // ---- Effects -------------------------------------------------------------------------------
        @Override
        public void answer(Invocation invocation, Answer answer) {
            invocation.reply().send(answer);
        }

        @Override
        public void call(InvokerCall call, long timeout) {
            Flight flight = new Flight(this, call);
            call.transport(flight);
            SimProvider provider = world.planted == Planted.SENDS_TO_NEWEST
                    ? region.newest(region.providers.get(call.provider()))
                    : region.providers.get(call.provider());
            String id = call.invocation().id();
            world.ledger.rules.begins(world.time.now(), name(), id, call.number(), provider.id);
            world.time.in(world.delay, () -> {
                if (flight.ended) {
                    return;
                } else if (!provider.reachable()) {
                    flight.end(new CallResult.Broken(Stage.CONNECTING, "refused"));
                    return;
                }
                flight.written = true;
                world.time.in(world.delay, () -> {
                    world.ledger.rules.whole(
                            world.time.now(), name(), id, call.number(), provider.id, region.setup.work());
                    SimProvider.Job job = provider.take(
                            id,
                            result -> world.time.in(world.delay + world.held(), () -> flight.end(result)),
                            () -> world.time.in(world.delay, () -> flight.broken("reset")));
                    flight.closed = () -> provider.abort(job);
                    if (flight.ended) {
                        flight.closed.run();
                    }
                });
            });
        }

        @Override
        public void callAway(InvokerCall call, Departure departure) {
            Flight flight = new Flight(this, call);
            call.transport(flight);
            world.ledger.crossed(
                    region.setup.name(),
                    call.invocation().id(),
                    call.invocation().units());
            LinkFault fault = world.drawLinkFault();
            SimNode there = world.node(departure.gateway());
            if (fault == LinkFault.SILENT) {
                return; // never comes up: the reducer gives it up in time
            }
            world.time.in(world.linkTime(), () -> {
                if (flight.ended) {
                    return;
                } else if (fault == LinkFault.REFUSED || !there.alive()) {
                    flight.end(new CallResult.Broken(Stage.CONNECTING, "refused"));
                    return;
                } else if (fault == LinkFault.BREAKS_WRITING) {
                    flight.broken("reset");
                    return;
                }
                flight.written = true;
                world.time.in(world.linkTime(), () -> there.visit(flight, departure, name, fault));
                if (world.planted == Planted.LINK_RESENDS) {
                    world.time.in(100 * World.MS, () -> there.visit(flight, departure, name, fault));
                }
            });
        }

        @Override
        public void stopConnecting(InvokerCall call) {
            Flight flight = (Flight) call.transport();
            if (!flight.written) {
                world.time.in(0, () -> flight.end(new CallResult.Broken(Stage.CONNECTING, "given up")));
            }
        }

        @Override
        public void stop(InvokerCall call) {
            Flight flight = (Flight) call.transport();
            if (!flight.ended) {
                flight.closed.run();
                world.time.in(0, () -> flight.broken("closed by us"));
            }
        }

        @Override
        public void probe(String provider, InetSocketAddress address, long askedAt) {}

        @Override
        public void closeIdle(String provider, InetSocketAddress address) {}

        @Override
        public void tell(int peer, byte[] bytes) {
            for (int i = 0; i < region.nodes.size(); i++) {
                SimNode to = region.nodes.get(i);
                if (i != number
                        && (peer < 0 || peer == i)
                        && world.network.nextDouble() >= world.loss
                        && !world.cut.test(number, i)) {
                    world.time.in(world.delay + world.network.nextLong(5 * World.MS), () -> {
                        if (to.life != null) {
                            to.life.event(new Event.PeerTold(number, bytes));
                        }
                    });
                }
            }
        }

        @Override
        public void log(String line) {
            if (line.startsWith("fault")) {
                throw new IllegalStateException(line);
            }
        }
    }

    private boolean neverRan(Front.Response response) {
        return response.neverRan() || world.planted == Planted.CLAIMS_NEVER_RAN && response.status() >= 500;
    }

    /** Another region's request has arrived whole at this gatekeeper. */
    private void visit(Flight flight, Departure departure, String from, LinkFault fault) {
        Incarnation here = life;
        if (here == null || here.desk == null) {
            flight.broken("reset");
            return;
        }
        long takenAt = world.time.now();
        Invocation home = flight.call.invocation();
        Request request = new Request(
                home.id(),
                home.requestClass(),
                Gateway.VISITOR,
                Gateway.VISITOR,
                takenAt + departure.told(),
                home.units(),
                1,
                number,
                false);
        Invocation[] visitor = new Invocation[1];
        visitor[0] = new Invocation(request, home.requestClass() == 0, NOTHING, answer -> {
            here.visitors.remove(visitor[0]);
            // The production code's own form of the answer, read as the production code reads it.
            Front.Response response = here.front.response(answer);
            CallResult result = new CallResult.Answered(
                    response.status(),
                    neverRan(response),
                    response.contentType(),
                    response.body(),
                    world.time.now() - takenAt,
                    response.retryAfter());
            world.time.in(world.linkTime(), () -> {
                if (fault == LinkFault.BREAKS_ANSWERING) {
                    flight.end(new CallResult.Broken(Stage.ANSWERING, "reset"));
                } else {
                    flight.end(result);
                }
            });
        });
        Runnable leaves = () -> world.time.in(world.linkTime(), () -> {
            if (here.visitors.remove(visitor[0]) != null) {
                here.event(new Event.ConsumerLeft(visitor[0]));
            }
        });
        here.visitors.put(visitor[0], () -> world.time.in(world.linkTime(), () -> flight.broken("reset")));
        flight.closed = leaves;
        here.event(
                world.planted == Planted.SENDS_VISITORS_ON
                        ? new Event.InvocationTaken(visitor[0])
                        : new Event.VisitorTaken(visitor[0], new Path(List.of(from))));
        if (flight.ended) {
            leaves.run();
        } else if (fault == LinkFault.BREAKS_AFTER) {
            world.time.in(20 * World.MS, () -> {
                leaves.run();
                flight.broken("reset");
            });
        }
    }
}
