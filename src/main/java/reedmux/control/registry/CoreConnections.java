package reedmux.control.registry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;
import reedmux.control.store.CoreAddresses;

/**
 * A registry's connections to the other machines of the core: to the registries of the other machines, and to all
 * stores, including the local one. The connections follow the core membership that the stores agree on.
 */
final class CoreConnections {
    private final ProcessSettings settings;
    private final CoreAddresses addresses;
    private final Reactor reactor;
    private final MessageCodec codec;
    private final Hello localHello;
    private final RpcConnection.RpcConnectionHandler handler;
    private final List<RpcDialer> registries = new ArrayList<>();
    private final List<RpcDialer> stores = new ArrayList<>();

    CoreConnections(
            ProcessSettings settings,
            CoreAddresses addresses,
            Reactor reactor,
            MessageCodec codec,
            Hello localHello,
            RpcConnection.RpcConnectionHandler handler) {
        this.settings = settings;
        this.addresses = addresses;
        this.reactor = reactor;
        this.codec = codec;
        this.localHello = localHello;
        this.handler = handler;
    }

    /** Connects to every machine that the settings list; this machine's store becomes the first of the stores. */
    void connectToAll() {
        addresses.peerAddresses(settings.registryPort()).forEach(registry -> connect(registries, registry));
        connect(stores, SocketAddresses.parse(settings.ip() + ':' + settings.storePort()));
        addresses.peerAddresses(settings.storePort()).forEach(store -> connect(stores, store));
    }

    private void connect(List<RpcDialer> dialers, InetSocketAddress address) {
        dialers.add(new RpcDialer(reactor, codec, localHello, address, handler));
    }

    private void connectToMachine(InetSocketAddress registry) {
        connect(registries, registry);
        connect(stores, new InetSocketAddress(registry.getAddress(), settings.storePort()));
    }

    /** Returns the connections to the other registries, as a live list. */
    List<RpcDialer> registries() {
        return registries;
    }

    /** Returns the connections to all stores, this machine's store first, as a live list. */
    List<RpcDialer> stores() {
        return stores;
    }

    /** Connects to those of the given machines that are not known yet. */
    void addMachines(List<String> ips) {
        addresses.addDiscovered(ips, settings.registryPort()).forEach(this::connectToMachine);
    }

    /** Connects to machines that have joined the core, and closes the connections to those that have left it. */
    void applyMembership(CoreMembers members) {
        Set<String> previousMachines = new HashSet<>(addresses.machines());
        if (!addresses.adopt(members)) {
            return;
        }
        closeRemoved(registries);
        closeRemoved(stores);
        for (InetSocketAddress registry : addresses.peerAddresses(settings.registryPort())) {
            if (!previousMachines.contains(registry.getAddress().getHostAddress())) {
                connectToMachine(registry);
            }
        }
    }

    /**
     * Closes the connections to machines that were removed from the core. The connection to this machine's own store
     * stays open even if this machine was removed.
     */
    private void closeRemoved(List<RpcDialer> dialers) {
        for (RpcDialer dialer : List.copyOf(dialers)) {
            boolean local = dialer.address().getAddress().getHostAddress().equals(settings.ip());
            if (addresses.isRemoved(dialer.address()) && !local) {
                dialers.remove(dialer);
                dialer.close();
            }
        }
    }

    /** Returns whether this registry opened the connection to another registry. */
    boolean isToRegistry(RpcConnection connection) {
        return registries.stream().anyMatch(dialer -> dialer.connection() == connection);
    }

    /** Returns whether a connection to the registry of a node is established. */
    boolean isConnectedToRegistry(String node) {
        return registries.stream()
                .anyMatch(dialer -> dialer.connection() != null
                        && dialer.connection().peer().node().equals(node));
    }

    /** Sends an encoded message to all connected registries; returns whether every other registry is connected. */
    boolean sendToRegistries(byte[] message) {
        boolean allConnected = true;
        for (RpcDialer dialer : registries) {
            RpcConnection connection = dialer.connection();
            if (connection == null) {
                allConnected = false;
            } else {
                connection.sendEncoded(message);
            }
        }
        return allConnected;
    }
}
