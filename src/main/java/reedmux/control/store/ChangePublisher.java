package reedmux.control.store;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.control.consensus.ConsensusNode;
import reedmux.control.replication.ChangeBatch;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.CaughtUpNotice;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.DigestMismatch;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.QuorumContactResponse;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.Messages.StateTransferRequest;
import reedmux.control.rpc.Messages.StateTransferResponse;
import reedmux.control.rpc.Messages.WatermarkUpdate;
import reedmux.control.rpc.RpcConnection;

/**
 * Sends this store's committed items to the followers that pull them: other stores, proxies and registries.
 *
 * <p>A follower requests the changes after a given position ({@link ChangesRequest}) and receives a reply as soon as
 * there are any (long polling). Changes that do not fit in one message are sent as {@link SnapshotChunk}s. The follower
 * requests each chunk separately, so that a large snapshot does not delay other messages. If the position of another
 * store belongs to an earlier incarnation of this process, that store first compares digests ({@link DigestRequest}).
 * It then receives only the key ranges that differ, followed by the changes made during the comparison. Watermarks and
 * pending proposals are sent to stores only.
 *
 * <p>Two kinds of notices are ordered after the changes. A store that has requested quorum contact receives its
 * {@link QuorumContactResponse} after everything that was committed when this store confirmed the contact. A proxy
 * receives a single {@link CaughtUpNotice} after everything that was committed when this store confirmed contact with a
 * quorum, which must happen after the proxy's first request.
 *
 * <p>Not thread-safe; confined to the reactor thread.
 */
final class ChangePublisher {
    /** Approximate size in bytes of one message of items: small enough for heartbeats to be sent in between. */
    private static final int CHUNK_BYTES = 64 * 1024;
    /** Maximum number of items, and maximum number of watermarks, in one repair message. */
    private static final int REPAIR_CHUNK_ITEMS = 256;

    private final Reactor reactor;
    private final long incarnation;
    private final Replica replica;
    private final ConsensusNode consensus;
    private final EncodedBatchCache encodedBatches;
    /** Connections with an unanswered request. */
    private final Set<RpcConnection> awaitingReply = new LinkedHashSet<>();
    /** Proxy connections for which contact with a quorum has not been confirmed since their first request. */
    private final Set<RpcConnection> proxiesAwaitingContact = new LinkedHashSet<>();

    private boolean contactInProgress;

    ChangePublisher(Reactor reactor, MessageCodec codec, long incarnation, Replica replica, ConsensusNode consensus) {
        this.reactor = reactor;
        this.incarnation = incarnation;
        this.replica = replica;
        this.consensus = consensus;
        encodedBatches = new EncodedBatchCache(codec, incarnation, replica);
    }

    private static PullSession sessionOf(RpcConnection connection) {
        PullSession session = connection.attachment();
        if (session == null) {
            session = new PullSession();
            connection.attachment(session);
        }
        return session;
    }

    private static boolean isStore(RpcConnection connection) {
        return connection.peer().program().equals(StoreServer.PROGRAM_NAME);
    }

    // ---- Requests from followers -------------------------------------------------------------------

    /** Handles a request for the changes after a position up to which the follower has applied everything. */
    void onChangesRequest(RpcConnection connection, ChangesRequest request) {
        onPull(connection, localPosition(request.incarnation(), request.sinceChange()), true);
    }

    /** Handles a request for the next chunk from a follower that has received the previous one. */
    void onSnapshotChunkRequest(RpcConnection connection, SnapshotChunkRequest request) {
        onPull(connection, localPosition(request.incarnation(), request.sinceChange()), false);
    }

    private long localPosition(long requestIncarnation, long change) {
        return requestIncarnation == incarnation ? change : PullSession.UNKNOWN;
    }

    /** Compares digests with another store: first of the coarse ranges, then of the fine ones in those that differ. */
    void onDigestRequest(RpcConnection connection, DigestRequest request) {
        List<Integer> differing = replica.digests().differingRanges(request.ranges(), request.digests());
        if (differing == null) {
            reactor.error("invalid digest request from " + connection.peer().node());
            connection.close();
            return;
        }
        PullSession session = sessionOf(connection);
        boolean coarse = request.ranges().isEmpty();
        if (coarse) {
            session.repairReadAtChange = replica.lastChange(); // later changes are sent after the repair
        }
        if (coarse && !differing.isEmpty()) {
            connection.sendMessage(new DigestMismatch(differing));
            return;
        }
        session.repairBatch = differing.isEmpty() ? null : replica.batchInRanges(differing);
        onPull(connection, session.repairReadAtChange, false);
    }

    private void onPull(RpcConnection connection, long since, boolean applied) {
        PullSession session = sessionOf(connection);
        session.replyDue = true;
        session.sinceChange = !applied && since < 0 ? session.repairReadAtChange : since;
        session.appliedSince = applied;
        session.sentUpToChange = applied ? since : PullSession.UNKNOWN;
        awaitingReply.add(connection);
        sendReplyAndNotices(connection);
        if (!session.notifiedCaughtUp
                && session.contactAtChange < 0
                && !isStore(connection)
                && proxiesAwaitingContact.add(connection)) {
            startProxyContact();
        }
    }

    /** Sends all changes since the given position to a store that takes over this store's state. */
    void onStateTransferRequest(RpcConnection connection, StateTransferRequest request) {
        long since = request.incarnation() == incarnation ? request.sinceChange() : 0;
        connection.sendMessage(new WatermarkUpdate(replica.watermarksSince(since)));
        ConfigurationUpdate update = new ConfigurationUpdate(
                incarnation,
                replica.lastChange(),
                consensus.isComplete(),
                replica.committedSince(since),
                List.copyOf(replica.pending().values()));
        List<List<String>> votersByProposal = update.pendingProposals().stream()
                .map(proposal -> consensus.proposersVotedFor(proposal.id()))
                .toList();
        connection.sendMessage(new StateTransferResponse(request.epoch(), update, votersByProposal));
    }

    /** Removes a closed connection. */
    void onDisconnected(RpcConnection connection) {
        awaitingReply.remove(connection);
        proxiesAwaitingContact.remove(connection);
    }

    // ---- Replies -----------------------------------------------------------------------------------

    /** Replies to waiting followers after the replica has changed or this store has become complete. */
    void onConfigurationChanged() {
        for (RpcConnection connection : List.copyOf(awaitingReply)) {
            sendReplyAndNotices(connection);
        }
    }

    private void sendReplyAndNotices(RpcConnection connection) {
        sendNextBatch(connection);
        sendDueNotices(connection);
    }

    private void sendNextBatch(RpcConnection connection) {
        PullSession session = sessionOf(connection);
        boolean toStore = isStore(connection);
        if (!session.replyDue || !isReplyReady(session, toStore)) {
            return;
        }
        session.replyDue = false;
        session.replied = true;
        awaitingReply.remove(connection);
        if (toStore) {
            sendToStore(connection, session);
        } else {
            sendToProxy(connection, session);
        }
    }

    private boolean isReplyReady(PullSession session, boolean toStore) {
        if (session.sinceChange < 0) {
            return toStore || consensus.isComplete(); // a proxy must start from a complete configuration
        }
        // A reconnected store receives a reply even without changes: it does not count a peer before its first reply.
        boolean firstReply = toStore && !session.replied;
        boolean becameComplete = toStore && session.repliedIncomplete && consensus.isComplete();
        return firstReply || becameComplete || !session.appliedSince || replica.lastChange() > session.sinceChange;
    }

    private void sendToProxy(RpcConnection connection, PullSession session) {
        EncodedBatchCache.EncodedBatch batch =
                encodedBatches.since(Math.max(0, session.sinceChange), consensus.isComplete(), CHUNK_BYTES);
        session.sentUpToChange = batch.last() && consensus.isComplete() ? replica.lastChange() : PullSession.UNKNOWN;
        connection.sendEncoded(batch.bytes());
    }

    private void sendToStore(RpcConnection connection, PullSession session) {
        if (session.repairBatch != null) {
            ChangeBatch chunk = session.repairBatch.first(REPAIR_CHUNK_ITEMS);
            sendWatermarks(connection, chunk);
            session.repairBatch = session.repairBatch.remainder(REPAIR_CHUNK_ITEMS);
            connection.sendMessage(new SnapshotChunk(incarnation, PullSession.UNKNOWN, chunk.items()));
            return;
        }
        ChangeBatch batch = replica.batchSince(Math.max(0, session.sinceChange), CHUNK_BYTES);
        sendWatermarks(connection, batch);
        if (!batch.last()) {
            connection.sendMessage(new SnapshotChunk(incarnation, batch.upToChange(), batch.items()));
            return;
        }
        session.sentUpToChange = consensus.isComplete() ? replica.lastChange() : PullSession.UNKNOWN;
        session.repliedIncomplete = !consensus.isComplete();
        connection.sendMessage(new ConfigurationUpdate(
                incarnation,
                batch.upToChange(),
                consensus.isComplete(),
                batch.items(),
                List.copyOf(replica.pending().values())));
    }

    /** Sends the batch's watermarks, which must precede the items that they belong to. */
    private static void sendWatermarks(RpcConnection connection, ChangeBatch batch) {
        if (!batch.watermarks().isEmpty()) {
            connection.sendMessage(new WatermarkUpdate(batch.watermarks()));
        }
    }

    // ---- Notices after changes ---------------------------------------------------------------------

    /** Confirms a store's contact request once that store has been sent everything that is committed now. */
    void confirmContact(RpcConnection connection, long contactId) {
        sessionOf(connection).dueConfirmations.add(new PullSession.DueConfirmation(contactId, replica.lastChange()));
        sendReplyAndNotices(connection);
    }

    private void sendDueNotices(RpcConnection connection) {
        PullSession session = sessionOf(connection);
        while (!session.dueConfirmations.isEmpty()
                && session.dueConfirmations.peek().afterChange() <= session.sentUpToChange) {
            connection.sendMessage(
                    new QuorumContactResponse(session.dueConfirmations.poll().contactId()));
        }
        if (!session.notifiedCaughtUp
                && session.contactAtChange >= 0
                && session.contactAtChange <= session.sentUpToChange) {
            session.notifiedCaughtUp = true;
            connection.sendMessage(new CaughtUpNotice());
        }
    }

    /** Requests contact with a quorum on behalf of all proxies that have started to pull since the last contact. */
    void startProxyContact() {
        if (contactInProgress || proxiesAwaitingContact.isEmpty() || !consensus.isCurrent()) {
            return;
        }
        contactInProgress = true;
        consensus.contactQuorum(reactor.now(), false, new ProxyContactCallback(List.copyOf(proxiesAwaitingContact)));
    }

    /** A class instead of a lambda, because a lambda is linked at run time, which would happen during startup. */
    private final class ProxyContactCallback implements Consumer<Boolean> {
        private final List<RpcConnection> proxies;

        private ProxyContactCallback(List<RpcConnection> proxies) {
            this.proxies = proxies;
        }

        @Override
        public void accept(Boolean reached) {
            contactInProgress = false;
            if (reached) {
                for (RpcConnection connection : proxies) {
                    onProxyContact(connection);
                }
            }
        }
    }

    private void onProxyContact(RpcConnection connection) {
        if (proxiesAwaitingContact.remove(connection)) {
            sessionOf(connection).contactAtChange = replica.lastChange();
            sendReplyAndNotices(connection);
        }
    }
}
