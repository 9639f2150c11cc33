package reedmux.simulation.region;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverPolicy;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.http.RequestFrontend;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ProviderList;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.simulation.region.RegionWorld.InjectedFault;
import reedmux.simulation.region.RegionWorld.LinkFault;

/**
 * A gatekeeper in virtual time: one {@link RunningGatekeeper} after another, with its consumers and what other regions
 * forward to it. Sockets are modelled by when a call's last byte was sent, which alone decides whether it may run.
 */
public final class SimulatedGatekeeper {
    private static final InetSocketAddress NO_ADDRESS = InetSocketAddress.createUnresolved("sim", 1);
    private static final Invocation.RequestMessage EMPTY_MESSAGE = new Invocation.RequestMessage() {};

    private final RegionWorld world;
    private final SimulatedRegion region;
    private final int number;
    private final long seed;
    private RunningGatekeeper process;
    private int processCount;

    SimulatedGatekeeper(RegionWorld world, SimulatedRegion region, int number, long seed) {
        this.world = world;
        this.region = region;
        this.number = number;
        this.seed = seed;
    }

    /** The name that histories use. */
    String name() {
        return region.setup.name() + '/' + number;
    }

    boolean isAlive() {
        return process != null;
    }

    FailoverPolicy regions() {
        return process.regions == null ? null : process.regions.failoverPolicy();
    }

    int unanswered() {
        return process.reducer.unansweredCount();
    }

    boolean isRunning(RunningGatekeeper candidate) {
        return process == candidate;
    }

    void receiveDatagram(int from, byte[] bytes) {
        if (process != null) {
            process.reduce(new ReducerEvent.PeerDatagramReceived(from, bytes));
        }
    }

    void start() {
        if (process == null) {
            process = new RunningGatekeeper(this, world, region, number, seed + 1000L * ++processCount);
            announceProviders();
        }
    }

    /** Dies as a process does: its connections are reset, and what it had accepted is not answered. */
    void kill() {
        RunningGatekeeper dead = process;
        process = null;
        if (dead == null) {
            return;
        }
        dead.unanswered.forEach(world.ledger::onExcused);
        world.ledger.rules.onGatekeeperRestarted(world.timeline.now(), name());
        List.copyOf(dead.calls).forEach(simulated -> simulated.abandon());
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
            RunningGatekeeper notified = process;
            ReducerEvent list =
                    new ReducerEvent.ProvidersUpdated(new ProviderList(ServerListScope.FULL, region.listRevision, all));
            if (world.injectedFault == InjectedFault.TELLS_DRAINS_LATE) {
                world.timeline.in(RegionWorld.SECOND, () -> notified.reduce(list));
            } else {
                notified.reduce(list);
            }
        }
    }

    void reloadRules(FailoverRules rules) {
        if (process != null && process.regions != null) {
            process.reduce(new ReducerEvent.RegionRulesUpdated(rules, addresses(rules)));
        }
    }

    static Map<String, InetSocketAddress> addresses(FailoverRules rules) {
        Map<String, InetSocketAddress> all = new HashMap<>();
        if (rules.target() != null) {
            rules.target().gateways().forEach(gateway -> all.put(gateway, NO_ADDRESS));
        }
        return all;
    }

    Invocation accept(String id, int kind, long customer, long deadline, double units) {
        return accept(id, kind, customer, deadline, units, () -> {});
    }

    /** Accepts a consumer's request; {@code then} is run when it has its answer. */
    Invocation accept(String id, int kind, long customer, long deadline, double units, Runnable then) {
        RunningGatekeeper acceptedBy = process;
        int memberCount = world.membersPerCustomer == 0 ? region.gatekeepers.size() : world.membersPerCustomer;
        int firstMember = world.membersPerCustomer == 0 ? 0 : (int) (customer % region.gatekeepers.size());
        boolean alone = world.injectedFault == InjectedFault.WHOLE_CEILING_EACH;
        IncomingRequest request = new IncomingRequest(
                id,
                kind,
                region.settings[number].plans().indexOf(region.setup.plan(customer)),
                customer,
                deadline,
                units,
                alone ? 1 : memberCount,
                alone ? number : firstMember,
                false);
        Invocation invocation = new Invocation(request, kind == 0, EMPTY_MESSAGE, answer -> {
            acceptedBy.unanswered.remove(id);
            if (world.injectedFault == InjectedFault.FORGETS_ANSWERS && answer instanceof FinalAnswer.Failed) {
                return;
            }
            world.ledger.onAnswered(id, answer);
            if (world.injectedFault == InjectedFault.ANSWERS_TWICE && answer instanceof FinalAnswer.Rejected) {
                world.ledger.onAnswered(id, answer);
            }
            then.run();
        });
        acceptedBy.unanswered.add(id);
        acceptedBy.reduce(new ReducerEvent.InvocationAccepted(invocation));
        return invocation;
    }

    void disconnectConsumer(Invocation invocation) {
        if (process != null && process.unanswered.remove(invocation.id())) {
            world.ledger.onExcused(invocation.id());
            process.reduce(new ReducerEvent.ConsumerDisconnected(invocation));
        }
    }

    private boolean neverRan(RequestFrontend.GatewayResponse response) {
        return response.neverRan() || world.injectedFault == InjectedFault.CLAIMS_NEVER_RAN && response.status() >= 500;
    }

    /** Another region's request has come in as a whole. */
    void receiveForwarded(SimulatedCall simulated, ForwardedRequest forwarded, String from, LinkFault fault) {
        RunningGatekeeper here = process;
        if (here == null || here.regions == null) {
            simulated.broken("reset");
            return;
        }
        long acceptedAt = world.timeline.now();
        Invocation home = simulated.call.invocation();
        IncomingRequest request = new IncomingRequest(
                home.id(),
                home.requestClass(),
                TrafficPolicy.REMOTE_REQUEST_PLAN,
                TrafficPolicy.REMOTE_REQUEST_PLAN,
                acceptedAt + forwarded.grantedMicros(),
                home.units(),
                1,
                number,
                false);
        Invocation[] remote = new Invocation[1];
        remote[0] = new Invocation(request, home.requestClass() == 0, EMPTY_MESSAGE, answer -> {
            here.remoteInvocations.remove(remote[0]);
            // The answer in the form that production code gives it, read as production code reads it.
            RequestFrontend.GatewayResponse response = here.front.toResponse(answer);
            CallResult result = new CallResult.ResponseReceived(
                    response.status(),
                    neverRan(response),
                    response.contentType(),
                    response.body(),
                    world.timeline.now() - acceptedAt,
                    response.retryAfterMicros());
            world.timeline.in(world.drawRegionLinkDelay(), () -> {
                if (fault == LinkFault.BREAKS_ANSWERING) {
                    simulated.end(new CallResult.ConnectionBroken(CallStage.RECEIVING_RESPONSE, "reset"));
                } else {
                    simulated.end(result);
                }
            });
        });
        Runnable disconnect = () -> world.timeline.in(world.drawRegionLinkDelay(), () -> {
            if (here.remoteInvocations.remove(remote[0]) != null) {
                here.reduce(new ReducerEvent.ConsumerDisconnected(remote[0]));
            }
        });
        here.remoteInvocations.put(
                remote[0], () -> world.timeline.in(world.drawRegionLinkDelay(), () -> simulated.broken("reset")));
        simulated.onLocalClose = disconnect;
        here.reduce(
                world.injectedFault == InjectedFault.SENDS_VISITORS_ON
                        ? new ReducerEvent.InvocationAccepted(remote[0])
                        : new ReducerEvent.RemoteInvocationAccepted(remote[0], new RegionPath(List.of(from))));
        if (simulated.ended) {
            disconnect.run();
        } else if (fault == LinkFault.BREAKS_AFTER) {
            world.timeline.in(20 * RegionWorld.MILLISECOND, () -> {
                disconnect.run();
                simulated.broken("reset");
            });
        }
    }
}
