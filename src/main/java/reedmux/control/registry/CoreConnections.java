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
 * A registry's connections to the other machines of the core: to each of their registries, and to all stores. They
 * follow the core's membership as the stores agree on it.
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

    /** Connects to every machine that the settings name, and to this machine's store first of the stores. */
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

    /** The other registries; a live list. */
    List<RpcDialer> registries() {
        return registries;
    }

    /** All stores, this machine's first; a live list. */
    List<RpcDialer> stores() {
        return stores;
    }

    /** Connects to those of the machines that were not known yet. */
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

    /** This machine's own store is kept, also where the machine is no member any more. */
    private void closeRemoved(List<RpcDialer> dialers) {
        for (RpcDialer dialer : List.copyOf(dialers)) {
            boolean local = dialer.address().getAddress().getHostAddress().equals(settings.ip());
            if (addresses.isRemoved(dialer.address()) && !local) {
                dialers.remove(dialer);
                dialer.close();
            }
        }
    }

    /** Whether a connection is one of those that this registry has opened to the others. */
    boolean isToRegistry(RpcConnection connection) {
        return registries.stream().anyMatch(dialer -> dialer.connection() == connection);
    }

    /** Whether there is an established connection to the registry of a node. */
    boolean isConnectedToRegistry(String node) {
        return registries.stream()
                .anyMatch(dialer -> dialer.connection() != null
                        && dialer.connection().peer().node().equals(node));
    }

    /** Sends an encoded message to the other registries; returns whether every one of them is connected. */
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
