package reedmux.control.registry;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.common.http1.MalformedMessageException;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.SettingKeys;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.instances.RegistryHeartbeat;
import reedmux.control.replication.ReplicationPosition;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.IncarnationAck;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.RegistryHeartbeats;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionTable;
import reedmux.control.store.CoreAddresses;

/**
 * The program that serves the control API over HTTP and tracks all instances and proxies. One registry runs on each
 * machine of the core; there is no leader:
 *
 * <ul>
 *   <li>An instance sends its heartbeats to one registry, which is its owner ({@link InstanceCalls}). Registries
 *       replicate changes of an instance to each other, but not each heartbeat: while the owner sends its own
 *       heartbeats, the other registries consider its instances alive.
 *   <li>A proxy has a session with each registry that it is connected to ({@link SessionTable}).
 *   <li>Registries and proxies pull changes: a {@link ChangesRequest} is answered with a {@link MembershipUpdate} as
 *       soon as there are changes after the requested position ({@link UpdatePublisher}).
 *   <li>Calls of operators are forwarded to a store ({@link StoreRequests}).
 * </ul>
 *
 * <p>After a loss of all registries, instances and proxies report to the restarted ones. Only what instances do not
 * report again, that they are draining or gone, depends on the files that the registry writes. Everything but disk I/O
 * runs on the reactor's thread.
 */
public final class Registry implements Program, RpcConnection.RpcConnectionHandler {
    static final String PROGRAM_NAME = "registry";
    private static final String PROXY_PROGRAM_NAME = "proxy";
    /** Folder in the data directory; keeps its original name, which existing disks contain. */
    private static final String INSTANCES_FOLDER = "lives";

    private static final long HEARTBEAT_INTERVAL_MICROS = 1_000_000;
    /** How long the sessions of an unreachable registry remain valid: a partition is more frequent than a failure. */
    private static final long LOST_REGISTRY_GRACE_MICROS = 2_000_000;
    /** Interval between the heartbeats of an instance if the settings specify none. */
    private static final int DEFAULT_HEARTBEAT_PERIOD_MILLIS = 1500;
    /** Number of missed heartbeats after which an instance is considered unresponsive. */
    private static final int MISSED_HEARTBEATS = 4;

    private final Reactor reactor;
    private final MessageCodec codec = new MessageCodec();
    private final Hello localHello;
    /** Numbers the changes of instances, owners and sessions in one sequence, because one update contains all three. */
    private final ChangeCounter counter = new ChangeCounter();

    private final InstanceDirectory directory;
    private final InstancePersistence persistence;
    private final SessionTable sessions = new SessionTable(LOST_REGISTRY_GRACE_MICROS, counter);
    private final CoreConnections core;
    private final ProxyConnections proxies = new ProxyConnections();
    private final UpdatePublisher publisher;
    private final InstanceCalls instanceCalls;
    private final StoreRequests storeRequests;
    /** The position up to which the updates of each other registry have been applied, by node. */
    private final Map<String, ReplicationPosition> positionByNode = new HashMap<>();

    /**
     * Creates the registry, which accepts connections and connects to the other machines of the core once the reactor
     * runs.
     *
     * @throws ProcessSettingsException if a setting is missing or invalid
     * @throws IOException if a socket cannot be opened
     */
    public Registry(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        this.reactor = reactor;
        CoreAddresses addresses = new CoreAddresses(settings, true);
        localHello = new Hello(
                Messages.FORMAT_VERSION,
                PROGRAM_NAME,
                settings.node(),
                settings.ip(),
                settings.zone(),
                reactor.newIncarnationId() ^ (long) settings.node().hashCode() << 32,
                addresses.machines());
        directory = new InstanceDirectory(localHello.incarnation(), counter);
        String endpoint = settings.ip()
                + ':'
                + settings.socketAddress(SettingKeys.CONTROL_SOCKET).getPort();
        persistence = settings.dataDir() == null
                ? InstancePersistence.IN_MEMORY
                : new IncarnationStorage(settings.dataDir().resolve(INSTANCES_FOLDER), reactor, codec, directory);
        publisher = new UpdatePublisher(reactor, codec, localHello.incarnation(), counter, directory, sessions);
        core = new CoreConnections(settings, addresses, reactor, codec, localHello, this);
        instanceCalls = new InstanceCalls(endpoint, reactor, directory, core.registries(), publisher, persistence);
        storeRequests = new StoreRequests(reactor, core.stores());
        core.connectToAll();
        new TcpListener(
                reactor,
                SocketAddresses.parse(settings.ip() + ':' + settings.registryPort()),
                connection -> RpcConnection.accept(reactor, codec, localHello, connection, this));
        new TcpListener(
                reactor,
                settings.socketAddress(SettingKeys.CONTROL_SOCKET),
                connection -> new Http1ServerConnection(reactor, connection, this::onRequest));
        long timeoutMicros = MISSED_HEARTBEATS
                * settings.durationMicros(SettingKeys.HEARTBEAT_INTERVAL_MILLIS, DEFAULT_HEARTBEAT_PERIOD_MILLIS);
        reactor.scheduleEvery(HEARTBEAT_INTERVAL_MICROS, () -> onHeartbeatTick(timeoutMicros));
    }

    @Override
    public void beginShutdown() {
        reactor.stop();
    }

    @Override
    public void reload(ProcessSettings newSettings) {
        core.addMachines(new CoreAddresses(newSettings, false).machines());
    }

    private void onHeartbeatTick(long timeoutMicros) {
        int timedOut = directory.detectTimeouts(reactor.now(), timeoutMicros);
        if (timedOut > 0) {
            // ProgramsClusterTest matches this line.
            reactor.warnRateLimited("silent", timedOut + " checkers have fallen silent");
        }
        List<RegistryHeartbeat> heartbeats = directory.nextHeartbeats(reactor.now());
        boolean allConnected = core.sendToRegistries(codec.encode(new RegistryHeartbeats(heartbeats)));
        if (!allConnected) {
            // The first heartbeat is this registry's own; proxies relay it to registries that this one cannot reach.
            byte[] ownHeartbeat = codec.encode(new RegistryHeartbeats(heartbeats.subList(0, 1)));
            proxies.relays().forEach(proxy -> proxy.sendEncoded(ownHeartbeat));
        }
        publisher.publishChanges();
    }

    /** Handles a request to the control API. */
    private void onRequest(Http1ServerConnection.Http1Request request, Http1ServerConnection caller) {
        ControlCall call;
        try {
            call = ControlCallParser.parse(request.head(), request.body());
        } catch (MalformedMessageException e) {
            caller.respond(e.status(), e.getMessage());
            return;
        }
        if (call instanceof ControlCall.HeartbeatCall heartbeat) {
            instanceCalls.onHeartbeat(heartbeat.incarnation(), caller);
        } else if (call instanceof ControlCall.InstanceLeaveCall leave) {
            instanceCalls.onLeave(leave.id(), caller);
        } else if (call instanceof ControlCall.CoreLeaveCall leave) {
            storeRequests.removeFromCore(leave.node(), caller);
        } else if (call instanceof ControlCall.ConfigAdjustCall adjust) {
            storeRequests.changeConfiguration(adjust.body(), caller);
        } else if (call instanceof ControlCall.ShowCall show) {
            storeRequests.requestStatus(show, caller, (status, problem) -> report(show, status, problem));
        } else {
            storeRequests.readConfiguration(caller);
        }
    }

    private String report(ControlCall.ShowCall show, String storeStatus, String problem) {
        return new RegistryStatusReport(localHello, directory, sessions, core.registries(), reactor.now())
                .toJson(show, storeStatus, problem);
    }

    @Override
    public void onConnected(RpcConnection connection) {
        Hello peer = connection.peer();
        core.addMachines(peer.coreIps());
        if (peer.program().equals(PROGRAM_NAME) && core.isToRegistry(connection)) {
            ReplicationPosition position = positionByNode.getOrDefault(peer.node(), ReplicationPosition.NONE);
            if (position.incarnation() == peer.incarnation()) {
                sessions.onSourceRestored(peer.node());
            }
            connection.sendMessage(new ChangesRequest(position.incarnation(), position.change()));
        } else if (peer.program().equals(PROXY_PROGRAM_NAME)) {
            sessions.start(sessionOf(peer));
            publisher.publishChanges();
            proxies.add(connection);
        }
    }

    private static ProxySession sessionOf(Hello proxy) {
        return new ProxySession(proxy.node(), proxy.ip(), proxy.zone(), proxy.incarnation());
    }

    @Override
    public void onDisconnected(RpcConnection connection) {
        publisher.onDisconnected(connection);
        instanceCalls.onDisconnected(connection);
        storeRequests.onDisconnected(connection);
        proxies.remove(connection);
        Hello peer = connection.peer();
        if (peer == null) {
            return; // the connection closed before the handshake
        }
        if (peer.program().equals(PROXY_PROGRAM_NAME)) {
            sessions.end(sessionOf(peer));
            publisher.publishChanges();
        } else if (!core.isConnectedToRegistry(peer.node())) {
            sessions.onSourceLost(peer.node(), reactor.now());
        }
    }

    @Override
    public void onMessage(RpcConnection connection, Object message) {
        if (message instanceof ChangesRequest request) {
            publisher.onRequest(connection, request);
        } else if (message instanceof MembershipUpdate update) {
            onMembershipUpdate(connection, update);
        } else if (message instanceof IncarnationNotice notice) {
            onIncarnationNotice(connection, notice);
        } else if (message instanceof CoreMembershipNotice notice) {
            core.applyMembership(notice.core());
        } else if (message instanceof IncarnationAck ack) {
            instanceCalls.onAck(connection, ack);
        } else if (message instanceof RegistryHeartbeats heartbeats) {
            heartbeats.heartbeats().forEach(heartbeat -> directory.onRegistryHeartbeat(heartbeat, reactor.now()));
        } else if (message instanceof OperatorResponse response) {
            storeRequests.onResponse(connection, response);
        }
    }

    /** Applies the changes of another registry and requests the next ones. */
    private void onMembershipUpdate(RpcConnection connection, MembershipUpdate update) {
        String node = connection.peer().node();
        positionByNode.put(node, new ReplicationPosition(update.incarnation(), update.upToChange()));
        update.instances().forEach(instance -> directory.merge(instance, reactor.now()));
        update.owners().forEach(owner -> directory.mergeOwner(owner, reactor.now()));
        sessions.merge(node, update.sessions(), reactor.now());
        connection.sendMessage(new ChangesRequest(update.incarnation(), update.upToChange()));
        publisher.publishChanges();
    }

    /**
     * Merges and acknowledges a notice: from another registry, instances whose phase must be durable before the
     * acknowledgement; from a proxy, the instances that it knew before this registry started.
     */
    private void onIncarnationNotice(RpcConnection connection, IncarnationNotice notice) {
        notice.instances().forEach(instance -> directory.merge(instance, reactor.now()));
        publisher.publishChanges();
        IncarnationAck ack = new IncarnationAck(notice.id());
        if (!connection.peer().program().equals(PROXY_PROGRAM_NAME)) {
            persistAll(notice.instances(), () -> connection.sendMessage(ack));
            return;
        }
        if (notice.instances().isEmpty()) {
            proxies.onEmptyNotice();
        }
        connection.sendMessage(ack);
    }

    /** Persists instances one after the other, then runs a task if all of them are durable. */
    private void persistAll(List<InstanceIncarnation> instances, Runnable onDurable) {
        if (instances.isEmpty()) {
            onDurable.run();
            return;
        }
        InstanceIncarnation merged = directory.get(instances.get(0).id(), reactor.now());
        List<InstanceIncarnation> rest = instances.subList(1, instances.size());
        persistence.persist(merged, durable -> {
            if (durable) {
                persistAll(rest, onDurable);
            }
        });
    }
}
