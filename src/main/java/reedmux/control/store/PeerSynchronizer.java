package reedmux.control.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.eventloop.Reactor;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.ConsensusNode;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.replication.DigestTree;
import reedmux.control.replication.Replica;
import reedmux.control.replication.ReplicationPosition;
import reedmux.control.replication.SnapshotAssembler;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.DigestMismatch;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.Messages.StateTransferRequest;
import reedmux.control.rpc.Messages.StateTransferResponse;
import reedmux.control.rpc.Messages.WatermarkUpdate;
import reedmux.control.rpc.RpcConnection;

/**
 * Pulls the items that other stores have committed into this store's replica and onto its disk; the counterpart of
 * {@link ChangePublisher}. Each outgoing connection always has one request in flight. It continues from the last known
 * position, or first compares digests if the peer has restarted since. Not thread-safe; confined to the reactor thread.
 */
final class PeerSynchronizer {
    private final Reactor reactor;
    private final Replica replica;
    private final ReplicaStorage storage;
    private final ConsensusNode consensus;
    private final CoreMembership membership;
    /** The last known position in each peer's changes, keyed by the peer's IP address. */
    private final Map<String, ReplicationPosition> positions = new HashMap<>();

    private final SnapshotAssembler snapshots = new SnapshotAssembler();

    PeerSynchronizer(
            Reactor reactor,
            Replica replica,
            ReplicaStorage storage,
            ConsensusNode consensus,
            CoreMembership membership) {
        this.reactor = reactor;
        this.replica = replica;
        this.storage = storage;
        this.consensus = consensus;
        this.membership = membership;
    }

    private ReplicationPosition positionOf(String ip) {
        return positions.getOrDefault(ip, ReplicationPosition.NONE);
    }

    /** Requests the changes that this store is missing, after an outgoing connection has been established. */
    void requestChanges(RpcConnection connection) {
        String ip = connection.peer().ip();
        long incarnation = connection.peer().incarnation();
        ReplicationPosition position = positionOf(ip);
        long receivedUpTo = snapshots.resumeFrom(ip, incarnation);
        if (receivedUpTo >= 0) {
            connection.sendMessage(new SnapshotChunkRequest(incarnation, receivedUpTo));
        } else if (position.incarnation() == incarnation || replica.lastChange() == 0) {
            connection.sendMessage(new ChangesRequest(position.incarnation(), position.change()));
        } else {
            sendDigests(connection, List.of());
        }
    }

    private void sendDigests(RpcConnection connection, List<Integer> coarseRanges) {
        connection.sendMessage(new DigestRequest(coarseRanges, replica.digests().digestsOf(coarseRanges)));
    }

    /** Sends the fine digests of the coarse ranges that the peer has found to differ. */
    void onDigestMismatch(RpcConnection connection, DigestMismatch mismatch) {
        for (int range : mismatch.ranges()) {
            if (range < 0 || range >= DigestTree.RANGES_PER_LEVEL) {
                connection.close();
                return;
            }
        }
        sendDigests(connection, mismatch.ranges());
    }

    /** Buffers a snapshot chunk until the last one has been received, and requests the next chunk. */
    void onSnapshotChunk(RpcConnection connection, SnapshotChunk chunk) {
        snapshots.addChunk(connection.peer().ip(), chunk.incarnation(), chunk.upToChange(), chunk.items());
        connection.sendMessage(new SnapshotChunkRequest(chunk.incarnation(), chunk.upToChange()));
    }

    /** Applies the items that the peer has committed, and requests the changes after them. */
    void onConfigurationUpdate(RpcConnection connection, ConfigurationUpdate update) {
        String ip = connection.peer().ip();
        positions.put(ip, new ReplicationPosition(update.incarnation(), update.upToChange()));
        List<ConfigurationItem> items = snapshots.complete(ip, update.incarnation(), update.items());
        List<ConfigurationItem> missing = replica.findMissing(items);
        boolean wasComplete = consensus.isComplete();
        consensus.onPeerState(reactor.now(), ip, update.complete(), items, update.pendingProposals());
        if (!missing.isEmpty()) {
            storage.persistItems(missing);
        }
        if (!wasComplete && consensus.isComplete()) {
            membership.onDiskRecovered(reactor.now());
            storage.markComplete();
        }
        connection.sendMessage(new ChangesRequest(update.incarnation(), update.upToChange()));
    }

    /** Merges the peer's watermarks, which it sends before the items that they belong to. */
    void onWatermarkUpdate(WatermarkUpdate update) {
        List<Watermark> added = replica.mergeWatermarks(update.watermarks());
        if (!added.isEmpty()) {
            storage.persistWatermarks(added);
        }
    }

    // ---- Handover of a fenced core -----------------------------------------------------------------

    /** Requests all changes since the last known position from a fenced member. */
    void requestStateTransfer(RpcConnection connection, long epoch) {
        ReplicationPosition position = positionOf(connection.peer().ip());
        connection.sendMessage(new StateTransferRequest(epoch, position.incarnation(), position.change()));
    }

    /** Merges and persists the state of a fenced member. */
    void onStateTransferResponse(RpcConnection connection, StateTransferResponse response) {
        ConfigurationUpdate update = response.update();
        List<ConfigurationItem> missing = replica.findMissing(update.items());
        consensus.onHandover(reactor.now(), update.items(), update.pendingProposals(), response.votersByProposal());
        storage.persistItems(missing);
        membership.onHandover(reactor.now(), connection.peer().ip(), response.epoch());
    }
}
