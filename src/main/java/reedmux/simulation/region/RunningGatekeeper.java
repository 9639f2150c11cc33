package reedmux.simulation.region;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.failover.FailoverPolicy;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.http.RegionFrontend;
import reedmux.gatekeeper.policy.GatekeeperPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.Reducer;
import reedmux.gatekeeper.reducer.ReducerEffects;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.RegionCoordinator;
import reedmux.gatekeeper.reducer.UpstreamCall;
import reedmux.simulation.region.RegionWorld.InjectedFault;
import reedmux.simulation.region.RegionWorld.LinkFault;

/**
 * One process of a simulated gatekeeper: the production reducer, and what it reads and writes as events of the
 * timeline.
 */
final class RunningGatekeeper implements ReducerEffects {
    private static final long CONNECT_TIMEOUT_MICROS = 250 * RegionWorld.MILLISECOND;
    private static final int MAX_ATTEMPTS = 4;

    private final SimulatedGatekeeper gatekeeper;
    private final RegionWorld world;
    private final SimulatedRegion region;
    private final int number;
    final Reducer reducer;
    final RegionCoordinator regions;
    final RegionFrontend front;
    /** The name by which other regions know this one. */
    final String regionName;

    final Set<String> unanswered = new TreeSet<>();
    final Set<SimulatedCall> calls = new LinkedHashSet<>();
    /** Requests of other regions, each with what notifies its home of this process's death. */
    final Map<Invocation, Runnable> remoteInvocations = new HashMap<>();

    private long wakeAt = Long.MAX_VALUE;

    RunningGatekeeper(
            SimulatedGatekeeper gatekeeper, RegionWorld world, SimulatedRegion region, int number, long seed) {
        this.gatekeeper = gatekeeper;
        this.world = world;
        this.region = region;
        this.number = number;
        long now = world.timeline.now();
        FailoverRules rules = region.rules;
        regionName = rules == null ? region.setup.name() : rules.name();
        int members = world.injectedFault == InjectedFault.WHOLE_BUDGET_EACH ? 1 : region.settings.length;
        regions = rules == null
                ? null
                : new RegionCoordinator(
                        new FailoverPolicy(rules, members, now, seed),
                        SimulatedGatekeeper.addresses(rules),
                        region.settings[number].classes().stream()
                                .mapToLong(RequestClass::latencyTarget)
                                .toArray());
        front = new RegionFrontend(region.settings[number], new MonotonicClock(), event -> {});
        reducer = new Reducer(
                new GatekeeperPolicy(region.settings[number], seed),
                MAX_ATTEMPTS,
                CONNECT_TIMEOUT_MICROS,
                this,
                regions);
    }

    void reduce(ReducerEvent event) {
        if (!gatekeeper.isRunning(this)) {
            return;
        }
        reducer.reduce(world.timeline.now(), event);
        scheduleTimers();
    }

    void recordCallEnd(UpstreamCall call, boolean neverRan) {
        world.ledger.rules.onCallEnded(
                world.timeline.now(), gatekeeper.name(), call.invocation().id(), call.number(), neverRan);
    }

    private void scheduleTimers() {
        long due = reducer.nextDue();
        if (due < wakeAt) {
            wakeAt = due;
            world.timeline.at(due, () -> {
                if (gatekeeper.isRunning(this) && wakeAt <= world.timeline.now()) {
                    wakeAt = Long.MAX_VALUE;
                    reducer.reduceDue(world.timeline.now());
                    scheduleTimers();
                }
            });
        }
    }

    @Override
    public void sendAnswer(Invocation invocation, FinalAnswer answer) {
        invocation.answerSink().send(answer);
    }

    @Override
    public void startCall(UpstreamCall call, long timeout) {
        SimulatedCall simulated = new SimulatedCall(this, call);
        call.transportState(simulated);
        SimulatedProvider provider = world.injectedFault == InjectedFault.SENDS_TO_NEWEST
                ? region.newest(region.providers.get(call.provider()))
                : region.providers.get(call.provider());
        String id = call.invocation().id();
        world.ledger.rules.onCallStarted(world.timeline.now(), gatekeeper.name(), id, call.number(), provider.id);
        world.timeline.in(world.networkDelay, () -> {
            if (simulated.ended) {
                return;
            } else if (!provider.isReachable()) {
                simulated.end(new CallResult.ConnectionBroken(CallStage.CONNECTING, "refused"));
                return;
            }
            simulated.sent = true;
            world.timeline.in(world.networkDelay, () -> {
                world.ledger.rules.onRequestDelivered(
                        world.timeline.now(), gatekeeper.name(), id, call.number(), provider.id, region.setup.work());
                SimulatedProvider.ProviderJob job = provider.accept(
                        id,
                        result -> world.timeline.in(
                                world.networkDelay + world.answerDelay(), () -> simulated.end(result)),
                        () -> world.timeline.in(world.networkDelay, () -> simulated.broken("reset")));
                simulated.onLocalClose = () -> provider.abort(job);
                if (simulated.ended) {
                    simulated.onLocalClose.run();
                }
            });
        });
    }

    @Override
    public void startForwardedCall(UpstreamCall call, ForwardedRequest forwarded) {
        SimulatedCall simulated = new SimulatedCall(this, call);
        call.transportState(simulated);
        world.ledger.onForwarded(
                region.setup.name(), call.invocation().id(), call.invocation().units());
        LinkFault fault = world.drawLinkFault();
        SimulatedGatekeeper there = world.gatekeeper(forwarded.gateway());
        if (fault == LinkFault.SILENT) {
            return; // the connection never comes up: the reducer's timer ends it
        }
        world.timeline.in(world.drawRegionLinkDelay(), () -> {
            if (simulated.ended) {
                return;
            } else if (fault == LinkFault.REFUSED || !there.isAlive()) {
                simulated.end(new CallResult.ConnectionBroken(CallStage.CONNECTING, "refused"));
                return;
            } else if (fault == LinkFault.BREAKS_WRITING) {
                simulated.broken("reset");
                return;
            }
            simulated.sent = true;
            world.timeline.in(
                    world.drawRegionLinkDelay(), () -> there.receiveForwarded(simulated, forwarded, regionName, fault));
            if (world.injectedFault == InjectedFault.LINK_RESENDS) {
                world.timeline.in(
                        100 * RegionWorld.MILLISECOND,
                        () -> there.receiveForwarded(simulated, forwarded, regionName, fault));
            }
        });
    }

    @Override
    public void abortConnecting(UpstreamCall call) {
        SimulatedCall simulated = (SimulatedCall) call.transportState();
        if (!simulated.sent) {
            world.timeline.in(
                    0, () -> simulated.end(new CallResult.ConnectionBroken(CallStage.CONNECTING, "given up")));
        }
    }

    /** Here a request is written as a whole as soon as its connection is up. */
    @Override
    public void abortUnlessSent(UpstreamCall call) {
        abortConnecting(call);
    }

    @Override
    public void abortCall(UpstreamCall call) {
        SimulatedCall simulated = (SimulatedCall) call.transportState();
        if (!simulated.ended) {
            simulated.onLocalClose.run();
            world.timeline.in(0, () -> simulated.broken("closed by us"));
        }
    }

    @Override
    public void checkHealth(String provider, InetSocketAddress address, long startedAt) {}

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
                            to.receiveDatagram(number, bytes);
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
