package reedmux.control.registry;

import java.util.List;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.rpc.Messages.IncarnationAck;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;

/**
 * Carries out the calls of instances. A heartbeat of a ready instance is acknowledged at once, as a lost one is
 * followed by the next. That an instance drains or leaves is acknowledged only once another registry knows it, too, so
 * that a loss of this machine does not bring it back.
 */
final class InstanceCalls {
    /** Callers wait for a second. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 900_000;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String NOT_ACKNOWLEDGED = "no other machine could be told";
    private static final String EMPTY_RESPONSE = "{}";
    private static final String UNKNOWN_ADDRESS = "0.0.0.0:0";

    private final Reactor reactor;
    private final InstanceDirectory directory;
    private final List<RpcDialer> registries;
    private final UpdatePublisher publisher;
    /** Asks the instance to send its next heartbeat here again, as a change of its owner is replicated. */
    private final String heartbeatResponse;
    /** Calls that wait until another registry has acknowledged. */
    private final PendingRequests<RpcConnection, Http1ServerConnection> pending = new PendingRequests<>();

    /**
     * Creates the calls of one registry.
     *
     * @param endpoint this registry's {@code ip:port} for instances
     * @param registries the connections to the other registries, a live list
     */
    InstanceCalls(
            String endpoint,
            Reactor reactor,
            InstanceDirectory directory,
            List<RpcDialer> registries,
            UpdatePublisher publisher) {
        this.reactor = reactor;
        this.directory = directory;
        this.registries = registries;
        this.publisher = publisher;
        heartbeatResponse = "{\"beatTarget\":\"" + endpoint + "\"}";
    }

    void onHeartbeat(InstanceIncarnation instance, Http1ServerConnection caller) {
        directory.onHeartbeat(instance, reactor.now());
        acknowledge(instance.id(), heartbeatResponse, caller);
    }

    void onLeave(String id, Http1ServerConnection caller) {
        InstanceIncarnation lastReport = directory.get(id, reactor.now());
        if (lastReport == null) { // all that can be known of it is that it has ended
            lastReport = new InstanceIncarnation(id, "", UNKNOWN_ADDRESS, "", 1, InstanceIncarnation.READY, 0, 0, false);
        }
        InstanceIncarnation gone = new InstanceIncarnation(
                id,
                lastReport.service(),
                lastReport.address(),
                lastReport.zone(),
                lastReport.capacity(),
                InstanceIncarnation.GONE,
                lastReport.sequence(),
                0,
                false);
        directory.merge(gone, reactor.now());
        acknowledge(id, EMPTY_RESPONSE, caller);
    }

    private void acknowledge(String id, String response, Http1ServerConnection caller) {
        InstanceIncarnation instance = directory.get(id, reactor.now());
        publisher.publishChanges();
        if (instance.phase() == InstanceIncarnation.READY || registries.isEmpty()) {
            caller.respond(STATUS_OK, response);
            return;
        }
        List<RpcConnection> connected = registries.stream()
                .map(RpcDialer::connection)
                .filter(connection -> connection != null)
                .toList();
        if (connected.isEmpty()) {
            rejectUnacknowledged(caller); // at once, so that the instance calls another registry
            return;
        }
        long requestId = pending.register(connected, caller);
        IncarnationNotice notice = new IncarnationNotice(requestId, List.of(instance));
        connected.forEach(connection -> connection.sendMessage(notice));
        reactor.scheduleAfter(ACKNOWLEDGEMENT_TIMEOUT_MICROS, () -> rejectUnacknowledged(pending.cancel(requestId)));
    }

    /** Another registry has acknowledged; one is enough. */
    void onAck(RpcConnection connection, IncarnationAck ack) {
        Http1ServerConnection caller = pending.complete(ack.id(), connection);
        if (caller != null) {
            caller.respond(STATUS_OK, EMPTY_RESPONSE);
        }
    }

    void onDisconnected(RpcConnection connection) {
        pending.onConnectionLost(connection).forEach(InstanceCalls::rejectUnacknowledged);
    }

    /** {@code caller}: null where the call has its response already. */
    private static void rejectUnacknowledged(Http1ServerConnection caller) {
        if (caller != null) {
            caller.respond(STATUS_UNAVAILABLE, NOT_ACKNOWLEDGED);
        }
    }
}
