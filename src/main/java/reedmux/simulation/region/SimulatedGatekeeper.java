package reedmux.simulation.region;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.failover.FailoverPolicy;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.http.RegionFrontend;
import reedmux.gatekeeper.http.RequestFrontend;
import reedmux.gatekeeper.policy.GatekeeperPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ProviderList;
import reedmux.gatekeeper.reducer.Reducer;
import reedmux.gatekeeper.reducer.ReducerEffects;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.RegionCoordinator;
import reedmux.gatekeeper.reducer.UpstreamCall;
import reedmux.simulation.region.RegionWorld.InjectedFault;
import reedmux.simulation.region.RegionWorld.LinkFault;

/**
 * A gatekeeper in virtual time: the production reducer with its module and region decisions, one life after
 * another. Sockets are modelled by when a call's last byte was written, which alone tells whether it may run.
 */
public final class SimulatedGatekeeper {
    private static final long CONNECT_TIMEOUT_MICROS = 250 * RegionWorld.MILLISECOND;
    private static final InetSocketAddress NO_ADDRESS = InetSocketAddress.createUnresolved("sim", 1);
    private static final Invocation.RequestMessage EMPTY_MESSAGE = new Invocation.RequestMessage() {};

    private final RegionWorld world;
    private final RegionWorld.SimulatedRegion region;
    private final int number;
    private final long seed;
    private RunningGatekeeper process;
    private int processCount;

    SimulatedGatekeeper(RegionWorld world, RegionWorld.SimulatedRegion region, int number, long seed) {
        this.world = world;
        this.region = region;
        this.number = number;
        this.seed = seed;
    }

    /** As in histories. */
    String name() {
        return region.setup.name() + '/' + number;
    }

    boolean isAlive() {
        return process != null;
    }

    FailoverPolicy regions() {
        return process.regions == null ? null : process.regions.regions();
    }

    int unanswered() {
        return process.reducer.unansweredCount();
    }

    void start() {
        if (process == null) {
            process = new RunningGatekeeper(seed + 1000L * ++processCount);
            announceProviders();
        }
    }

    /** Dies as a process does: its connections are reset, and what it had taken is not answered. */
    void kill() {
        RunningGatekeeper dead = process;
        process = null;
        if (dead == null) {
            return;
        }
        dead.unanswered.forEach(world.ledger::onExcused);
        world.ledger.rules.onGatekeeperRestarted(world.timeline.now(), name());
        List.copyOf(dead.calls).forEach(flight -> flight.abandon());
        dead.remoteInvocations.values().forEach(visit -> visit.run());
    }

    void announceProviders() {
        if (process != null) {
            List<ProviderList.ListedProvider> all = new ArrayList<>();
            region.providers.values().forEach(provider -> {
                ServerStatus status = !provider.isReachable()
                        ? ServerStatus.GONE
                        : provider.draining ? ServerStatus.DRAINING : ServerStatus.READY;
                all.add(new ProviderList.ListedProvider(
                        new ListedServer(
                                provider.id,
                                0,
                                0,
                                0,
                                status,
                                1,
                                world.injectedFault == InjectedFault.TELLS_NO_START ? 0 : provider.startedAt),
                        NO_ADDRESS));
                world.ledger.rules.onProviderStatus(
                        world.timeline.now(), name(), provider.id, status == ServerStatus.READY);
            });
            RunningGatekeeper told = process;
            ReducerEvent list =
                    new ReducerEvent.ProvidersUpdated(new ProviderList(ServerListScope.FULL, region.listRevision, all));
            if (world.injectedFault == InjectedFault.TELLS_DRAINS_LATE) {
                world.timeline.in(RegionWorld.SECOND, () -> told.reduce(list));
            } else {
                told.reduce(list);
            }
        }
    }

    void reloadRules(FailoverRules rules) {
        if (process != null && process.regions != null) {
            process.reduce(new ReducerEvent.RegionRulesUpdated(rules, addresses(rules)));
        }
    }

    private static Map<String, InetSocketAddress> addresses(FailoverRules rules) {
        Map<String, InetSocketAddress> all = new HashMap<>();
        if (rules.target() != null) {
            rules.target().gateways().forEach(gateway -> all.put(gateway, NO_ADDRESS));
        }
        return all;
    }

    Invocation accept(String id, int kind, long customer, long deadline, double units) {
        return accept(id, kind, customer, deadline, units, () -> {});
    }

    /** Takes a consumer's request; {@code then} is run when it has its answer. */
    Invocation accept(String id, int kind, long customer, long deadline, double units, Runnable then) {
        RunningGatekeeper at = process;
        int spread = world.membersPerCustomer == 0 ? region.gatekeepers.size() : world.membersPerCustomer;
        int first = world.membersPerCustomer == 0 ? 0 : (int) (customer % region.gatekeepers.size());
        boolean alone = world.injectedFault == InjectedFault.WHOLE_CEILING_EACH;
        IncomingRequest request = new IncomingRequest(
                id,
                kind,
                region.settings[number].plans().indexOf(region.setup.plan(customer)),
                customer,
                deadline,
                units,
                alone ? 1 : spread,
                alone ? number : first,
                false);
        Invocation invocation = new Invocation(request, kind == 0, EMPTY_MESSAGE, answer -> {
            at.unanswered.remove(id);
            if (world.injectedFault == InjectedFault.FORGETS_ANSWERS && answer instanceof FinalAnswer.Failed) {
                return;
            }
            world.ledger.onAnswered(id, answer);
            if (world.injectedFault == InjectedFault.ANSWERS_TWICE && answer instanceof FinalAnswer.Rejected) {
                world.ledger.onAnswered(id, answer);
            }
            then.run();
        });
        at.unanswered.add(id);
        at.reduce(new ReducerEvent.InvocationAccepted(invocation));
        return invocation;
    }

    void disconnectConsumer(Invocation invocation) {
        if (process != null && process.unanswered.remove(invocation.id())) {
            world.ledger.onExcused(invocation.id());
            process.reduce(new ReducerEvent.ConsumerDisconnected(invocation));
        }
    }

    /** One call under way, to a provider or to a gateway of another region. */
    private static final class SimulatedCall {
        final RunningGatekeeper from;
        final UpstreamCall call;
        boolean sent;
        boolean ended;
        /** Run where our side of the connection goes: the other side sees it end. */
        Runnable onLocalClose = () -> {};

        SimulatedCall(RunningGatekeeper from, UpstreamCall call) {
            this.from = from;
            this.call = call;
            from.calls.add(this);
        }

        void end(CallResult result) {
            if (!ended) {
                ended = true;
                from.calls.remove(this);
                if (call.forwardedRequest() == null) {
                    from.recordCallEnd(
                            call,
                            result instanceof CallResult.ResponseReceived answer
                                    ? answer.neverRan() && (answer.status() == 503 || answer.status() == 504)
                                    : !sent);
                }
                from.reduce(new ReducerEvent.CallEnded(call, result));
            }
        }

        void broken(String reason) {
            end(new CallResult.ConnectionBroken(sent ? CallStage.ON_WIRE : CallStage.WRITING, reason));
        }

        /** Our side has gone, without a word to a reducer that is no more. */
        void abandon() {
            ended = true;
            from.calls.remove(this);
            onLocalClose.run();
        }
    }

    /** One life of the process. */
    private final class RunningGatekeeper implements ReducerEffects {
        final Reducer reducer;
        final RegionCoordinator regions;
        final RegionFrontend front;
        final String name;
        final Set<String> unanswered = new TreeSet<>();
        final Set<SimulatedCall> calls = new LinkedHashSet<>();
        /** Visitors in work, each with what tells its home that our side has gone. */
        final Map<Invocation, Runnable> remoteInvocations = new HashMap<>();

        private long wakeAt = Long.MAX_VALUE;

        RunningGatekeeper(long chance) {
            long now = world.timeline.now();
            FailoverRules rules = region.rules;
            name = rules == null ? region.setup.name() : rules.name();
            int members = world.injectedFault == InjectedFault.WHOLE_BUDGET_EACH ? 1 : region.settings.length;
            regions = rules == null
                    ? null
                    : new RegionCoordinator(
                            new FailoverPolicy(rules, members, now, chance),
                            addresses(rules),
                            region.settings[number].classes().stream()
                                    .mapToLong(RequestClass::latencyTarget)
                                    .toArray());
            front = new RegionFrontend(region.settings[number], new MonotonicClock(), event -> {});
            reducer = new Reducer(
                    new GatekeeperPolicy(region.settings[number], chance), 4, CONNECT_TIMEOUT_MICROS, this, regions);
        }

        void reduce(ReducerEvent event) {
            if (process != this) {
                return;
            }
            reducer.reduce(world.timeline.now(), event);
            scheduleTimers();
        }

        private void recordCallEnd(UpstreamCall call, boolean neverRan) {
            world.ledger.rules.onCallEnded(
                    world.timeline.now(), name(), call.invocation().id(), call.number(), neverRan);
        }

        private void scheduleTimers() {
            long due = reducer.nextDue();
            if (due < wakeAt) {
                wakeAt = due;
                world.timeline.at(due, () -> {
                    if (process == this && wakeAt <= world.timeline.now()) {
                        wakeAt = Long.MAX_VALUE;
                        reducer.reduceDue(world.timeline.now());
                        scheduleTimers();
                    }
                });
            }
        }

        // ---- Effects -------------------------------------------------------------------------------
        @Override
        public void sendAnswer(Invocation invocation, FinalAnswer answer) {
            invocation.answerSink().send(answer);
        }

        @Override
        public void startCall(UpstreamCall call, long timeout) {
            SimulatedCall flight = new SimulatedCall(this, call);
            call.transport(flight);
            SimulatedProvider provider = world.injectedFault == InjectedFault.SENDS_TO_NEWEST
                    ? region.newest(region.providers.get(call.provider()))
                    : region.providers.get(call.provider());
            String id = call.invocation().id();
            world.ledger.rules.onCallStarted(world.timeline.now(), name(), id, call.number(), provider.id);
            world.timeline.in(world.networkDelay, () -> {
                if (flight.ended) {
                    return;
                } else if (!provider.isReachable()) {
                    flight.end(new CallResult.ConnectionBroken(CallStage.CONNECTING, "refused"));
                    return;
                }
                flight.sent = true;
                world.timeline.in(world.networkDelay, () -> {
                    world.ledger.rules.onRequestDelivered(
                            world.timeline.now(), name(), id, call.number(), provider.id, region.setup.work());
                    SimulatedProvider.ProviderJob job = provider.accept(
                            id,
                            result -> world.timeline.in(
                                    world.networkDelay + world.answerDelay(), () -> flight.end(result)),
                            () -> world.timeline.in(world.networkDelay, () -> flight.broken("reset")));
                    flight.onLocalClose = () -> provider.abort(job);
                    if (flight.ended) {
                        flight.onLocalClose.run();
                    }
                });
            });
        }

        @Override
        public void startForwardedCall(UpstreamCall call, ForwardedRequest departure) {
            SimulatedCall flight = new SimulatedCall(this, call);
            call.transport(flight);
            world.ledger.onForwarded(
                    region.setup.name(),
                    call.invocation().id(),
                    call.invocation().units());
            LinkFault fault = world.drawLinkFault();
            SimulatedGatekeeper there = world.gatekeeper(departure.gateway());
            if (fault == LinkFault.SILENT) {
                return; // never comes up: the reducer gives it up in time
            }
            world.timeline.in(world.drawRegionLinkDelay(), () -> {
                if (flight.ended) {
                    return;
                } else if (fault == LinkFault.REFUSED || !there.isAlive()) {
                    flight.end(new CallResult.ConnectionBroken(CallStage.CONNECTING, "refused"));
                    return;
                } else if (fault == LinkFault.BREAKS_WRITING) {
                    flight.broken("reset");
                    return;
                }
                flight.sent = true;
                world.timeline.in(
                        world.drawRegionLinkDelay(), () -> there.receiveForwarded(flight, departure, name, fault));
                if (world.injectedFault == InjectedFault.LINK_RESENDS) {
                    world.timeline.in(
                            100 * RegionWorld.MILLISECOND,
                            () -> there.receiveForwarded(flight, departure, name, fault));
                }
            });
        }

        @Override
        public void abortConnecting(UpstreamCall call) {
            SimulatedCall flight = (SimulatedCall) call.transport();
            if (!flight.sent) {
                world.timeline.in(
                        0, () -> flight.end(new CallResult.ConnectionBroken(CallStage.CONNECTING, "given up")));
            }
        }

        @Override
        public void abortCall(UpstreamCall call) {
            SimulatedCall flight = (SimulatedCall) call.transport();
            if (!flight.ended) {
                flight.onLocalClose.run();
                world.timeline.in(0, () -> flight.broken("closed by us"));
            }
        }

        @Override
        public void checkHealth(String provider, InetSocketAddress address, long askedAt) {}

        @Override
        public void closeIdleConnections(String provider, InetSocketAddress address) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            for (int i = 0; i < region.gatekeepers.size(); i++) {
                SimulatedGatekeeper to = region.gatekeepers.get(i);
                if (i != number
                        && (peer < 0 || peer == i)
                        && world.networkRandom.nextDouble() >= world.datagramLoss
                        && !world.isCut.test(number, i)) {
                    world.timeline.in(
                            world.networkDelay + world.networkRandom.nextLong(5 * RegionWorld.MILLISECOND), () -> {
                                if (to.process != null) {
                                    to.process.reduce(new ReducerEvent.PeerDatagramReceived(number, bytes));
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

    private boolean neverRan(RequestFrontend.GatewayResponse response) {
        return response.neverRan() || world.injectedFault == InjectedFault.CLAIMS_NEVER_RAN && response.status() >= 500;
    }

    /** Another region's request has arrived whole at this gatekeeper. */
    private void receiveForwarded(SimulatedCall flight, ForwardedRequest departure, String from, LinkFault fault) {
        RunningGatekeeper here = process;
        if (here == null || here.regions == null) {
            flight.broken("reset");
            return;
        }
        long takenAt = world.timeline.now();
        Invocation home = flight.call.invocation();
        IncomingRequest request = new IncomingRequest(
                home.id(),
                home.requestClass(),
                TrafficPolicy.REMOTE_REQUEST_PLAN,
                TrafficPolicy.REMOTE_REQUEST_PLAN,
                takenAt + departure.grantedMicros(),
                home.units(),
                1,
                number,
                false);
        Invocation[] visitor = new Invocation[1];
        visitor[0] = new Invocation(request, home.requestClass() == 0, EMPTY_MESSAGE, answer -> {
            here.remoteInvocations.remove(visitor[0]);
            // The production code's own form of the answer, read as the production code reads it.
            RequestFrontend.GatewayResponse response = here.front.toResponse(answer);
            CallResult result = new CallResult.ResponseReceived(
                    response.status(),
                    neverRan(response),
                    response.contentType(),
                    response.body(),
                    world.timeline.now() - takenAt,
                    response.retryAfterMicros());
            world.timeline.in(world.drawRegionLinkDelay(), () -> {
                if (fault == LinkFault.BREAKS_ANSWERING) {
                    flight.end(new CallResult.ConnectionBroken(CallStage.ANSWERING, "reset"));
                } else {
                    flight.end(result);
                }
            });
        });
        Runnable leaves = () -> world.timeline.in(world.drawRegionLinkDelay(), () -> {
            if (here.remoteInvocations.remove(visitor[0]) != null) {
                here.reduce(new ReducerEvent.ConsumerDisconnected(visitor[0]));
            }
        });
        here.remoteInvocations.put(
                visitor[0], () -> world.timeline.in(world.drawRegionLinkDelay(), () -> flight.broken("reset")));
        flight.onLocalClose = leaves;
        here.reduce(
                world.injectedFault == InjectedFault.SENDS_VISITORS_ON
                        ? new ReducerEvent.InvocationAccepted(visitor[0])
                        : new ReducerEvent.RemoteInvocationAccepted(visitor[0], new RegionPath(List.of(from))));
        if (flight.ended) {
            leaves.run();
        } else if (fault == LinkFault.BREAKS_AFTER) {
            world.timeline.in(20 * RegionWorld.MILLISECOND, () -> {
                leaves.run();
                flight.broken("reset");
            });
        }
    }
}
