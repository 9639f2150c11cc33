package reedmux.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.eventloop.Reactor;
import reedmux.common.settings.ProcessSettings;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.replication.ConfigurationFollower;
import reedmux.control.replication.ReplicationPosition;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.Messages.CaughtUpNotice;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.Messages.RegistryHeartbeats;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;
import reedmux.control.session.SessionTable;
import reedmux.control.session.SessionView;
import reedmux.control.store.CoreAddresses;
import reedmux.proxy.loadbalancer.LoadBalancer;

/**
 * The proxy's subscription to the control plane. It keeps a connection to the store and the registry of every core
 * machine. From the stores comes the configuration, from the registries the checkers' incarnations and the sessions
 * of the other proxies. Both are pulled: a request names the last change that is known of the source's incarnation
 * and is answered once there is a later one. For the reactor's thread.
 */
final class ControlPlaneClient implements RpcConnection.RpcConnectionHandler {
    private static final String PROGRAM_NAME = "proxy";
    private static final String STORE = "store";
    private static final String REGISTRY = "registry";
    /** How long the sessions of a registry that was lost still count; it is lost more often than its proxies are. */
    private static final long LOST_REGISTRY_LINGER_MICROS = 2_000_000;

    /** What follows an update; called on the reactor's thread. */
    interface ControlPlaneListener {

        /** The view is to be looked at again, and checkers may have become available. */
        void onMembershipUpdate();

        /** Some update has been processed, and the next one is requested. */
        void onUpdateProcessed();
    }

    private final ProcessSettings settings;
    private final Reactor reactor;
    private final MessageCodec codec;
    private final LoadBalancer loadBalancer;
    private final ControlPlaneListener listener;
    private final CoreAddresses coreAddresses;
    private final Hello hello;
    private final ConfigurationFollower configuration = new ConfigurationFollower();
    private final InstanceDirectory instances = new InstanceDirectory();
    private final SessionTable sessions = new SessionTable(LOST_REGISTRY_LINGER_MICROS);
    private final List<RpcDialer> storeDialers = new ArrayList<>();
    private final List<RpcDialer> registryDialers = new ArrayList<>();
    /** By node of a registry, how far its changes are known. */
    private final Map<String, ReplicationPosition> registryPositions = new HashMap<>();
    /** Whether a store has sent all that was committed when it was in contact with a quorum, after our start. */
    private boolean configurationConfirmed;

    ControlPlaneClient(
            ProcessSettings settings,
            Reactor reactor,
            MessageCodec codec,
            LoadBalancer loadBalancer,
            ControlPlaneListener listener,
            long incarnation) {
        this.settings = settings;
        this.reactor = reactor;
        this.codec = codec;
        this.loadBalancer = loadBalancer;
        this.listener = listener;
        coreAddresses = new CoreAddresses(settings, false);
        hello = new Hello(
                Messages.FORMAT_VERSION,
                PROGRAM_NAME,
                settings.node(),
                settings.ip(),
                settings.zone(),
                incarnation,
                coreAddresses.machines());
    }

    /** Dials the core machines that the settings name. */
    void connect() {
        coreAddresses.peerAddresses(settings.storePort()).forEach(this::dial);
    }

    /** Dials the core machines that changed settings name beyond those that are known. */
    void onSettingsChange(ProcessSettings newSettings) {
        dialAll(coreAddresses.addDiscovered(new CoreAddresses(newSettings, false).machines(), settings.storePort()));
    }

    private void dialAll(List<InetSocketAddress> storeAddresses) {
        for (InetSocketAddress storeAddress : storeAddresses) {
            dial(storeAddress);
        }
    }

    /** Keeps up connections to the store and the registry of a core machine. */
    private void dial(InetSocketAddress storeAddress) {
        InetSocketAddress registryAddress = new InetSocketAddress(storeAddress.getAddress(), settings.registryPort());
        storeDialers.add(new RpcDialer(reactor, codec, hello, storeAddress, this));
        registryDialers.add(new RpcDialer(reactor, codec, hello, registryAddress, this));
    }

    /** The newest configuration that could be used, or null. */
    ConfigurationTable table() {
        return configuration.table();
    }

    /** Whether the configuration has everything that was acknowledged before our start. */
    boolean isConfigurationCurrent() {
        return configuration.table() != null && !configuration.isEmpty() && configurationConfirmed;
    }

    boolean isRegistryConnected() {
        for (RpcDialer registry : registryDialers) {
            if (registry.connection() != null) {
                return true;
            }
        }
        return false;
    }

    /** The sessions of all proxies, as of now. */
    SessionView sessionView() {
        return sessions.view(reactor.now());
    }

    /** Whether no registry can be reached, so that the view is no longer updated. */
    boolean isIsolated() {
        return sessions.isIsolated();
    }

    @Override
    public void onConnected(RpcConnection connection) {
        dialAll(coreAddresses.addDiscovered(connection.peer().coreIps(), settings.storePort()));
        pull(connection);
    }

    @Override
    public void onDisconnected(RpcConnection connection) {
        if (connection.peer().program().equals(REGISTRY)) {
            sessions.onSourceLost(connection.peer().node(), reactor.now());
        }
    }

    /** Requests the changes after the last one that is known, or the rest of a snapshot that was interrupted. */
    private void pull(RpcConnection connection) {
        String source = connection.peer().node();
        long incarnation = connection.peer().incarnation();
        if (connection.peer().program().equals(STORE)) {
            long resumeFrom = configuration.snapshotAssembler().resumeFrom(source, incarnation);
            if (resumeFrom >= 0) {
                connection.sendMessage(new SnapshotChunkRequest(incarnation, resumeFrom));
                return;
            }
            requestChanges(connection, configuration.position(source));
            return;
        }
        ReplicationPosition position = registryPositions.getOrDefault(source, ReplicationPosition.NONE);
        if (position.incarnation() == incarnation && connection.peer().program().equals(REGISTRY)) {
            sessions.onSourceRestored(source);
        }
        requestChanges(connection, position);
    }

    private static void requestChanges(RpcConnection connection, ReplicationPosition position) {
        connection.sendMessage(new ChangesRequest(position.incarnation(), position.change()));
    }

    @Override
    public void onMessage(RpcConnection connection, Object message) {
        if (message instanceof ConfigurationUpdate update) {
            onConfigurationUpdate(connection, update);
        } else if (message instanceof SnapshotChunk chunk) {
            onSnapshotChunk(connection, chunk);
        } else if (message instanceof CaughtUpNotice) {
            configurationConfirmed = true;
            listener.onUpdateProcessed();
        } else if (message instanceof MembershipUpdate update) {
            onMembershipUpdate(connection, update);
        } else if (message instanceof CoreMembershipNotice notice) {
            onCoreMembershipNotice(notice.core());
        } else if (message instanceof ChangesRequest) {
            // A registry that has restarted may have lost incarnations that we know.
            connection.sendMessage(new IncarnationNotice(0, List.copyOf(instances.all(reactor.now()))));
        } else if (message instanceof RegistryHeartbeats) {
            forwardToOtherRegistries(connection, message);
        }
    }

    private void onConfigurationUpdate(RpcConnection connection, ConfigurationUpdate update) {
        // A store that lacks acknowledged items may add to what we have, but is not where we begin.
        if (update.complete() || !configuration.isEmpty()) {
            boolean changed = configuration.onUpdate(
                    connection.peer().node(), update.incarnation(), update.upToChange(), update.items());
            if (changed) {
                configuration
                        .table()
                        .services()
                        .forEach(service -> loadBalancer.setConnectionLimit(service.name(), service.maxConnections()));
            }
        }
        pull(connection);
        listener.onUpdateProcessed();
    }

    private void onSnapshotChunk(RpcConnection connection, SnapshotChunk chunk) {
        configuration
                .snapshotAssembler()
                .addChunk(connection.peer().node(), chunk.incarnation(), chunk.upToChange(), chunk.items());
        connection.sendMessage(new SnapshotChunkRequest(chunk.incarnation(), chunk.upToChange()));
    }

    private void onMembershipUpdate(RpcConnection connection, MembershipUpdate update) {
        String registry = connection.peer().node();
        registryPositions.put(registry, new ReplicationPosition(update.incarnation(), update.upToChange()));
        for (InstanceIncarnation incarnation : update.instances()) {
            if (instances.merge(incarnation, reactor.now())) {
                loadBalancer.onIncarnationUpdate(instances.get(incarnation.id(), reactor.now()), reactor.now());
            }
        }
        sessions.merge(registry, update.sessions(), reactor.now());
        listener.onMembershipUpdate();
        pull(connection);
        listener.onUpdateProcessed();
    }

    /** Follows a change of the core that was agreed on: dials new members and drops those that were removed. */
    private void onCoreMembershipNotice(CoreMembers members) {
        if (!coreAddresses.adopt(members)) {
            return;
        }
        closeRemovedMembers(storeDialers);
        closeRemovedMembers(registryDialers);
        for (InetSocketAddress address : coreAddresses.peerAddresses(settings.storePort())) {
            if (storeDialers.stream().noneMatch(dialer -> dialer.address().equals(address))) {
                dial(address);
            }
        }
    }

    private void closeRemovedMembers(List<RpcDialer> dialers) {
        for (RpcDialer dialer : List.copyOf(dialers)) {
            if (coreAddresses.isRemoved(dialer.address())) {
                dialers.remove(dialer);
                dialer.close();
            }
        }
    }

    /** Passes on heartbeats of a registry which the other registries may be unable to hear themselves. */
    private void forwardToOtherRegistries(RpcConnection sender, Object heartbeats) {
        for (RpcDialer registry : registryDialers) {
            if (registry.connection() != null && registry.connection() != sender) {
                registry.connection().sendMessage(heartbeats);
            }
        }
    }
}
