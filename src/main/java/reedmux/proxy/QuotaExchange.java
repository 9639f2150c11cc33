package reedmux.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.UdpEndpoint;
import reedmux.common.net.SocketAddresses;
import reedmux.common.quota.QuotaUpdate;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.common.settings.ProcessSettings;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.session.SessionView;
import reedmux.proxy.quota.QuotaTracker;
import reedmux.proxy.quota.QuotaTracker.OutgoingUpdate;

/** Exchanges the quota counters with the other proxies over UDP. Not thread-safe; used on the reactor's thread only. */
final class QuotaExchange {
    /** Maximum number of entries per datagram, which keeps a datagram small enough for a single network packet. */
    private static final int MAX_ENTRIES_PER_DATAGRAM = 24;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final QuotaTracker quotas;
    private final ControlPlaneClient controlPlane;
    private final int peerPort;
    private final UdpEndpoint socket;

    QuotaExchange(
            ProcessSettings settings,
            Reactor reactor,
            MessageCodec codec,
            QuotaTracker quotas,
            ControlPlaneClient controlPlane)
            throws IOException {
        this.reactor = reactor;
        this.codec = codec;
        this.quotas = quotas;
        this.controlPlane = controlPlane;
        peerPort = settings.peerPort();
        socket = new UdpEndpoint(reactor, SocketAddresses.parse(settings.ip() + ':' + peerPort), this::onDatagram);
    }

    void onViewChange(SessionView newView) {
        quotas.onViewChange(newView, reactor.now());
    }

    /** Sends the updates that are due, and schedules itself for the next send interval. */
    void sendUpdates() {
        for (OutgoingUpdate update : quotas.collectUpdates(reactor.now())) {
            InetSocketAddress receiver = SocketAddresses.parse(update.receiver().ip() + ':' + peerPort);
            send(receiver, update.update());
        }
        reactor.scheduleAfter(quotas.sendIntervalMicros(), this::sendUpdates);
    }

    /** Sends an update, split into as many datagrams as it needs. An update without entries is a heartbeat. */
    private void send(InetSocketAddress receiver, QuotaUpdate update) {
        List<TenantTotal> entries = update.entries();
        int fromIndex = 0;
        do {
            int toIndex = Math.min(entries.size(), fromIndex + MAX_ENTRIES_PER_DATAGRAM);
            QuotaUpdate part = new QuotaUpdate(
                    update.sender(),
                    update.incarnation(),
                    update.generation(),
                    update.viewDigest(),
                    update.reachableMembers(),
                    new ArrayList<>(entries.subList(fromIndex, toIndex)));
            socket.send(receiver, codec.encode(part));
            fromIndex = toIndex;
        } while (fromIndex < entries.size());
    }

    private void onDatagram(InetSocketAddress sender, byte[] bytes) {
        if (codec.decodeOrNull(bytes) instanceof QuotaUpdate update && controlPlane.table() != null) {
            quotas.onUpdate(update, name -> controlPlane.table().tenant(name), reactor.now());
        }
    }
}
