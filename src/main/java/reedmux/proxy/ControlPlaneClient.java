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
 * The proxy's subscription to the control plane. It maintains connections to the store and the registry of every core
 * machine. The stores send the configuration; the registries send the checkers' incarnations and the sessions of the
 * other proxies. Both are pulled: a request contains the last change that is known of the source's incarnation, and is
 * answered as soon as there is a later change.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class ControlPlaneClient implements RpcConnection.RpcConnectionHandler {
    private static final String PROGRAM_NAME = "proxy";
    private static final String STORE = "store";
    private static final String REGISTRY = "registry";
    /**
     * Time for which the sessions of a registry remain valid after its connection is lost. They are kept because
     * connections to registries are lost more often than the proxies whose sessions they report.
     */
    private static final long LOST_REGISTRY_LINGER_MICROS = 2_000_000;

    /** Receives notifications of updates, on the reactor's thread. */
    interface ControlPlaneListener {

        /** Called when the session view may have changed and checkers may have become available. */
        void onMembershipUpdate();

        /** Called when an update of any kind was processed and the next one was requested. */
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
    /** Position up to which the changes of each registry are known, by the node name of the registry. */
    private final Map<String, ReplicationPosition> registryPositions = new HashMap<>();
    /**
     * Whether a store has sent everything that was committed at a time after the start at which it was in contact with
     * a quorum.
     */
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

    /** Connects to the core machines that the settings contain. */
    void connect() {
        coreAddresses.peerAddresses(settings.storePort()).forEach(this::dial);
    }

    /** Connects to the core machines in changed settings that are not known yet. */
    void onSettingsChange(ProcessSettings newSettings) {
        dialAll(coreAddresses.addDiscovered(new CoreAddresses(newSettings, false).machines(), settings.storePort()));
    }

    private void dialAll(List<InetSocketAddress> storeAddresses) {
        for (InetSocketAddress storeAddress : storeAddresses) {
            dial(storeAddress);
        }
    }

    /** Maintains connections to the store and the registry of a core machine. */
    private void dial(InetSocketAddress storeAddress) {
        InetSocketAddress registryAddress = new InetSocketAddress(storeAddress.getAddress(), settings.registryPort());
        storeDialers.add(new RpcDialer(reactor, codec, hello, storeAddress, this));
        registryDialers.add(new RpcDialer(reactor, codec, hello, registryAddress, this));
    }

    /** Returns the newest valid configuration, or null if there is none. */
    ConfigurationTable table() {
        return configuration.table();
    }

    /** Returns whether the configuration contains everything that was acknowledged before the start of this process. */
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

    /** Returns the current view of the sessions of all proxies. */
    SessionView sessionView() {
        return sessions.view(reactor.now());
    }

    /** Returns whether no registry is reachable, so that the session view is no longer updated. */
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

    /** Requests the changes after the last known one, or the rest of a snapshot whose transfer was interrupted. */
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
            // A restarted registry may have lost incarnations that this proxy knows.
            connection.sendMessage(new IncarnationNotice(0, List.copyOf(instances.all(reactor.now()))));
        } else if (message instanceof RegistryHeartbeats) {
            forwardToOtherRegistries(connection, message);
        }
    }

    private void onConfigurationUpdate(RpcConnection connection, ConfigurationUpdate update) {
        // An update of a store that may lack acknowledged items is merged into an existing configuration, but is not
        // used as the first one.
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

    /**
     * Applies a committed change of the core membership: connects to new members and closes the connections to removed
     * ones.
     */
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

    /** Forwards the heartbeats of a registry to the other registries, which may be unable to receive them directly. */
    private void forwardToOtherRegistries(RpcConnection sender, Object heartbeats) {
        for (RpcDialer registry : registryDialers) {
            if (registry.connection() != null && registry.connection() != sender) {
                registry.connection().sendMessage(heartbeats);
            }
        }
    }
}
