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
 * Handles the calls of instances. The heartbeat of a ready instance is acknowledged immediately, because the next
 * heartbeat makes up for a lost one. A report that an instance is draining or leaving is acknowledged only after
 * another registry has received it, so that the instance does not become ready again if this machine fails.
 */
final class InstanceCalls {
    /** Less than the 1 s that callers wait for a response. */
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
    /** Tells the instance to keep sending heartbeats to this registry, because each change of owner is replicated. */
    private final String heartbeatResponse;
    /** Calls that wait for the acknowledgement of another registry. */
    private final PendingRequests<RpcConnection, Http1ServerConnection> pending = new PendingRequests<>();

    /**
     * Creates the handler for one registry.
     *
     * @param endpoint the {@code ip:port} at which this registry receives the calls of instances
     * @param registries the connections to the other registries, as a live list
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
        if (lastReport == null) { // an unknown instance: only its id and that it has ended are known
            lastReport =
                    new InstanceIncarnation(id, "", UNKNOWN_ADDRESS, "", 1, InstanceIncarnation.READY, 0, 0, false);
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
            rejectUnacknowledged(caller); // without a delay, so that the instance can call another registry
            return;
        }
        long requestId = pending.register(connected, caller);
        IncarnationNotice notice = new IncarnationNotice(requestId, List.of(instance));
        connected.forEach(connection -> connection.sendMessage(notice));
        reactor.scheduleAfter(ACKNOWLEDGEMENT_TIMEOUT_MICROS, () -> rejectUnacknowledged(pending.cancel(requestId)));
    }

    /** Completes a call after the first acknowledgement by another registry. */
    void onAck(RpcConnection connection, IncarnationAck ack) {
        Http1ServerConnection caller = pending.complete(ack.id(), connection);
        if (caller != null) {
            caller.respond(STATUS_OK, EMPTY_RESPONSE);
        }
    }

    void onDisconnected(RpcConnection connection) {
        pending.onConnectionLost(connection).forEach(InstanceCalls::rejectUnacknowledged);
    }

    /** Rejects a call; does nothing if {@code caller} is null because the call has already been answered. */
    private static void rejectUnacknowledged(Http1ServerConnection caller) {
        if (caller != null) {
            caller.respond(STATUS_UNAVAILABLE, NOT_ACKNOWLEDGED);
        }
    }
}
