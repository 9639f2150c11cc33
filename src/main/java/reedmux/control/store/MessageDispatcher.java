package reedmux.control.store;

import reedmux.common.eventloop.Reactor;
import reedmux.control.consensus.ConsensusNode;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.EpochMessage;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationChangeRequest;
import reedmux.control.rpc.Messages.ConfigurationReadRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.DigestMismatch;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.ProposeRequest;
import reedmux.control.rpc.Messages.QuorumContactRequest;
import reedmux.control.rpc.Messages.QuorumContactResponse;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.Messages.StateTransferRequest;
import reedmux.control.rpc.Messages.StateTransferResponse;
import reedmux.control.rpc.Messages.StoreStatusRequest;
import reedmux.control.rpc.Messages.VoteResponse;
import reedmux.control.rpc.Messages.WatermarkUpdate;
import reedmux.control.rpc.RpcConnection;

/**
 * Dispatches each message that a {@link StoreServer} receives to the component that handles it. Messages from other
 * stores are trusted except for their epoch: a store that belongs to another core can neither propose changes to this
 * store nor obtain contact confirmations from it. Not thread-safe; confined to the reactor thread.
 */
final class MessageDispatcher {
    private final Reactor reactor;
    private final PeerConnections peers;
    private final ChangePublisher publisher;
    private final PeerSynchronizer synchronizer;
    private final ConsensusNode consensus;
    private final CoreMembership membership;
    private final RemovalForwarder removals;
    private final StoreServer server;

    MessageDispatcher(
            Reactor reactor,
            PeerConnections peers,
            ChangePublisher publisher,
            PeerSynchronizer synchronizer,
            ConsensusNode consensus,
            CoreMembership membership,
            StoreServer server) {
        this.reactor = reactor;
        this.peers = peers;
        this.publisher = publisher;
        this.synchronizer = synchronizer;
        this.consensus = consensus;
        this.membership = membership;
        this.server = server;
        removals = new RemovalForwarder(reactor, membership, peers);
    }

    /** Dispatches a message to its handler. Messages of a type that a store does not handle are ignored. */
    void dispatch(RpcConnection connection, Object message) {
        if (!onReplicationMessage(connection, message)
                && !onConsensusMessage(connection, message)
                && !onMembershipMessage(connection, message)) {
            onOperatorMessage(connection, message);
        }
    }

    /** Handles replication messages; returns false if the message is of another kind. */
    private boolean onReplicationMessage(RpcConnection connection, Object message) {
        if (message instanceof ChangesRequest request) {
            publisher.onChangesRequest(connection, request);
        } else if (message instanceof SnapshotChunkRequest request) {
            publisher.onSnapshotChunkRequest(connection, request);
        } else if (message instanceof DigestRequest request) {
            publisher.onDigestRequest(connection, request);
        } else if (message instanceof DigestMismatch mismatch) {
            synchronizer.onDigestMismatch(connection, mismatch);
        } else if (message instanceof SnapshotChunk chunk) {
            synchronizer.onSnapshotChunk(connection, chunk);
        } else if (message instanceof WatermarkUpdate update) {
            synchronizer.onWatermarkUpdate(update);
        } else if (message instanceof ConfigurationUpdate update) {
            synchronizer.onConfigurationUpdate(connection, update);
            publisher.startProxyContact(); // the update may have made this store current
        } else {
            return false;
        }
        return true;
    }

    /** Handles messages of the consensus on operators' changes; returns false if the message is of another kind. */
    private boolean onConsensusMessage(RpcConnection connection, Object message) {
        long now = reactor.now();
        String senderIp = connection.peer().ip();
        if (message instanceof ProposeRequest request) {
            peers.recordProposalConnection(connection);
            if (membership.acceptsEpoch(senderIp, request.epoch())) {
                consensus.onProposal(now, senderIp, request.proposal());
            }
        } else if (message instanceof VoteResponse response) {
            consensus.onVote(now, senderIp, response.proposalId(), response.ballot(), response.vote());
        } else if (message instanceof DecisionNotice notice) {
            consensus.onDecision(now, notice.proposalId(), notice.ballot(), notice.committed(), notice.items());
        } else if (message instanceof QuorumContactRequest request) {
            peers.recordContactConnection(connection);
            // While this store is fenced, the next core may already be making decisions.
            if (membership.acceptsEpoch(senderIp, request.epoch()) && !membership.isFenced()) {
                consensus.onContactRequest(now, senderIp, request.id(), request.afterPendingDecisions());
            }
        } else if (message instanceof QuorumContactResponse response) {
            consensus.onContactConfirmation(now, senderIp, response.id());
        } else {
            return false;
        }
        return true;
    }

    /** Handles core membership messages; returns false if the message is of another kind. */
    private boolean onMembershipMessage(RpcConnection connection, Object message) {
        long now = reactor.now();
        String senderIp = connection.peer().ip();
        if (message instanceof CoreMembershipNotice notice) {
            if (notice.ready()) {
                server.onCandidate(senderIp);
            }
            membership.onCoreAnnounced(now, senderIp, notice.core(), notice.ready(), notice.fenced());
        } else if (message instanceof CoreRemovalRequest request && request.isRemovalOrder()) {
            membership.onRemovalOrder();
        } else if (message instanceof EpochMessage epochMessage) {
            peers.recordProposalConnection(connection);
            membership.onEpochMessage(now, senderIp, epochMessage);
        } else if (message instanceof StateTransferRequest request) {
            if (membership.maySendHandover(senderIp, request.epoch())) {
                publisher.onStateTransferRequest(connection, request);
            }
        } else if (message instanceof StateTransferResponse response) {
            synchronizer.onStateTransferResponse(connection, response);
        } else {
            return false;
        }
        return true;
    }

    /** Handles operator requests from a registry, and the leader's responses to forwarded removal requests. */
    private void onOperatorMessage(RpcConnection connection, Object message) {
        long now = reactor.now();
        if (message instanceof ConfigurationChangeRequest request) {
            consensus.onChangeRequest(
                    now, request.body(), (status, text) -> respond(connection, request.id(), status, text));
        } else if (message instanceof ConfigurationReadRequest request) {
            consensus.onReadRequest(now, (status, text) -> respond(connection, request.id(), status, text));
        } else if (message instanceof CoreRemovalRequest request) {
            removals.requestRemoval(request.node(), (status, text) -> respond(connection, request.id(), status, text));
        } else if (message instanceof StoreStatusRequest request) {
            PendingStatusRequest pending = new PendingStatusRequest(connection, request, now, server::status);
            reactor.scheduleAfter(PendingStatusRequest.TIMEOUT_MICROS, () -> pending.accept(false));
            consensus.contactQuorum(now, false, pending);
        } else if (message instanceof OperatorResponse response) {
            removals.onLeaderResponse(response);
        }
    }

    private static void respond(RpcConnection connection, long requestId, int status, String text) {
        connection.sendMessage(new OperatorResponse(requestId, status, text));
    }
}
