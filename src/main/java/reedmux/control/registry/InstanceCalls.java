package reedmux.control.registry;

import java.util.ArrayList;
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
 * heartbeat makes up for a lost one. A report that an instance is draining or leaving is acknowledged only once it is
 * durable on so many registries' disks that one of them remains after the loss of any minority of the disks. The
 * instance may send no further report, so it must not become ready again even if all processes are killed.
 */
final class InstanceCalls {
    /** Less than the 1 s that callers wait for a response. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 900_000;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String NOT_ACKNOWLEDGED = "the report could not be made durable on enough machines";
    /** Minimum number of registries that must have a report if there is more than one. */
    private static final int MIN_REPLICAS = 2;

    private static final String EMPTY_RESPONSE = "{}";
    private static final String UNKNOWN_ADDRESS = "0.0.0.0:0";

    private final Reactor reactor;
    private final InstanceDirectory directory;
    private final List<RpcDialer> registries;
    private final UpdatePublisher publisher;
    private final InstancePersistence localDisk;
    /** Tells the instance to keep sending heartbeats to this registry, because each change of owner is replicated. */
    private final String heartbeatResponse;
    /** Calls that wait until their report is durable. The replicas are {@link #localDisk} and other registries. */
    private final PendingRequests<Object, Http1ServerConnection> pending = new PendingRequests<>();

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
            UpdatePublisher publisher,
            InstancePersistence localDisk) {
        this.reactor = reactor;
        this.directory = directory;
        this.registries = registries;
        this.publisher = publisher;
        this.localDisk = localDisk;
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
        if (instance.phase() == InstanceIncarnation.READY) {
            caller.respond(STATUS_OK, response);
            return;
        }
        replicate(instance, caller);
    }

    private void replicate(InstanceIncarnation instance, Http1ServerConnection caller) {
        List<RpcConnection> connected = registries.stream()
                .map(RpcDialer::connection)
                .filter(connection -> connection != null)
                .toList();
        List<Object> replicas = new ArrayList<>(connected);
        replicas.add(localDisk);
        if (replicas.size() < neededReplicas()) {
            rejectUnacknowledged(caller); // without a delay, so that the instance can call another registry
            return;
        }
        long requestId = pending.register(replicas, neededReplicas(), caller);
        IncarnationNotice notice = new IncarnationNotice(requestId, List.of(instance));
        connected.forEach(connection -> connection.sendMessage(notice));
        reactor.scheduleAfter(ACKNOWLEDGEMENT_TIMEOUT_MICROS, () -> rejectUnacknowledged(pending.cancel(requestId)));
        localDisk.persist(instance, durable -> onLocalOutcome(requestId, durable));
    }

    /** Returns one more than the number of disks that a core of this size may lose. */
    private int neededReplicas() {
        int registryCount = registries.size() + 1;
        return registryCount == 1 ? 1 : Math.max(MIN_REPLICAS, (registryCount + 1) / 2);
    }

    private void onLocalOutcome(long requestId, boolean durable) {
        if (durable) {
            onReplica(requestId, localDisk);
        } else {
            rejectUnacknowledged(pending.fail(requestId, localDisk));
        }
    }

    private void onReplica(long requestId, Object replica) {
        Http1ServerConnection caller = pending.complete(requestId, replica);
        if (caller != null) {
            caller.respond(STATUS_OK, EMPTY_RESPONSE);
        }
    }

    /** Counts another registry, on whose disk the report of a call is durable. */
    void onAck(RpcConnection connection, IncarnationAck ack) {
        onReplica(ack.id(), connection);
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
