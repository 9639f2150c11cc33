package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Failure detection for peers: how often each is sent a packet, and how long it may go without a reply before it is
 * considered unreachable. Reachability is gossiped: of two versions of a member's state the higher one wins.
 */
final class PeerFailureDetector {
    static final long SYNC_TIMER = 1;
    /** Share of the message limit that is planned for; the rest is for replies and for timers that coincide. */
    private static final double PLANNED_MESSAGE_SHARE = 0.8;
    /** Bounds of the sync interval: shorter costs bytes and messages, longer delays the counts. */
    private static final long MIN_SYNC_MICROS = 40_000;

    static final long MAX_SYNC_MICROS = 1_000_000;
    /** How often the interval is adapted to the received messages, and the maximum factor of one change. */
    private static final double ADAPT_INTERVAL_MICROS = 0.5 * PolicyContext.MICROS_PER_SECOND;

    private static final double MAX_ADAPT_FACTOR = 1.5;
    /** Intervals without a reply until it is requested again: fewer cost messages, more detect a loss later. */
    private static final int REPLY_RETRY_INTERVALS = 2;
    /** Intervals after which an owed reply is sent even without other content. */
    private static final int REPLY_INTERVALS = 1;
    /** Intervals without a reply until a peer is unreachable: fewer reroute sooner but cause false alarms. */
    private static final int TIMEOUT_INTERVALS = 12;
    /** Bounds of the minimum timeout, which each false alarm doubles. */
    private static final long MIN_TIMEOUT_MICROS = 300_000;

    private static final long MAX_TIMEOUT_MICROS = 4_000_000;
    /** Factor on this timeout per interval: higher suits a machine that stalls often, lower one that has recovered. */
    private static final double TIMEOUT_DECAY = 0.999;
    /** Probe interval of an unreachable peer: shorter detects its return sooner, longer saves unanswered messages. */
    private static final long PROBE_INTERVAL_MICROS = 1_000_000;
    /** Intervals without any event that indicate a stall of this process, in which no peer times out. */
    private static final long STALL_INTERVALS = 3;

    private final PolicyContext context;
    private final HeapTopology topology;
    private final PeerTable peers;
    private final QuotaPolicy quotas;
    private double plannedMessagesPerSecond;
    private double timeout = MIN_TIMEOUT_MICROS;
    private int messagesReceived;
    private long adaptedAt;
    private long lastEventAt;

    PeerFailureDetector(PolicyContext context, HeapTopology topology, PeerTable peers, QuotaPolicy quotas) {
        this.context = context;
        this.topology = topology;
        this.peers = peers;
        this.quotas = quotas;
        setMessageLimit(context.settings.limits().peerMessagesPerSecond());
        double messages = 2 + HeapTopology.depth(topology.size()) / 2;
        peers.syncInterval = bounded(messages / plannedMessagesPerSecond * PolicyContext.MICROS_PER_SECOND);
        quotas.meanSyncInterval = peers.syncInterval;
    }

    void setMessageLimit(double perSecond) {
        plannedMessagesPerSecond = Math.max(1, perSecond * PLANNED_MESSAGE_SHARE);
    }

    /** Starts the timer, and requests the counts of the neighbours in the heap of all gateways. */
    void start() {
        context.actions.setTimer(context.now + peers.syncInterval, SYNC_TIMER);
        peers.requestCounts();
    }

    /** Extends the peers' reply deadlines after a stall of this process, or a long time without any event. */
    void excludeOwnStall() {
        long gap = context.now - lastEventAt;
        lastEventAt = context.now;
        if (gap > STALL_INTERVALS * peers.syncInterval) {
            for (PeerState peer : peers.all()) {
                peer.awaitingReplySince = peer.awaitingReplySince < 0 ? -1 : peer.awaitingReplySince + gap;
            }
        }
    }

    void onMessage() {
        messagesReceived++;
    }

    /** Handles a packet from an unreachable peer: the timeout was a false alarm, or the peer has recovered. */
    void onReturn(int member) {
        timeout = Math.min(MAX_TIMEOUT_MICROS, 2 * timeout);
        peers.applyVersion(member, topology.version(member) + 1, PeerTable.NO_PEER);
    }

    /** Runs once per interval, which the message limit determines: sends due packets and detects timeouts. */
    void synchronise(PeerExchange exchange) {
        adaptInterval();
        peers.onSynchronisation();
        long syncInterval = peers.syncInterval;
        context.actions.setTimer(context.now + syncInterval, SYNC_TIMER); // first: an exception below must not stop it
        timeout = Math.max(MIN_TIMEOUT_MICROS, timeout * TIMEOUT_DECAY);
        double intervals = 0;
        int reachable = 0;
        List<Integer> timedOut = new ArrayList<>();
        for (int i = 0; i < peers.all().size(); i++) { // sending may add peers
            PeerState peer = peers.all().get(i);
            boolean unreachable = topology.isUnreachable(peer.peer);
            long interval = unreachable ? PROBE_INTERVAL_MICROS : Math.max(syncInterval, peer.syncInterval);
            if (!unreachable) {
                reachable++;
                intervals += interval;
                if (hasTimedOut(peer, interval)) {
                    timedOut.add(peer.peer);
                }
            }
            if (context.now - peer.sentAt >= interval - syncInterval / 4
                    && (unreachable || isSendDue(peer, interval))) {
                exchange.send(peer);
            }
        }
        timedOut.forEach(peer -> peers.applyVersion(peer, topology.version(peer) | 1, PeerTable.NO_PEER));
        quotas.meanSyncInterval = reachable == 0 ? syncInterval : intervals / reachable;
    }

    private boolean hasTimedOut(PeerState peer, long interval) {
        return peer.awaitingReplySince >= 0
                && context.now - peer.awaitingReplySince > Math.max(timeout, TIMEOUT_INTERVALS * interval);
    }

    private boolean isSendDue(PeerState peer, long interval) {
        return !peer.pendingAccounts.isEmpty()
                || !peer.pendingMembers.isEmpty()
                || peer.replyOwedSince >= 0 && context.now - peer.replyOwedSince >= REPLY_INTERVALS * interval
                || peer.awaitingReplySince >= 0 && context.now - peer.sentAt >= REPLY_RETRY_INTERVALS * interval;
    }

    /** Adapts the interval, which neighbours are informed of, so that received messages approach the planned rate. */
    private void adaptInterval() {
        if (context.now - adaptedAt >= ADAPT_INTERVAL_MICROS) {
            double perSecond = messagesReceived * PolicyContext.MICROS_PER_SECOND / (context.now - adaptedAt);
            double utilisation = perSecond / plannedMessagesPerSecond;
            peers.syncInterval = bounded(
                    peers.syncInterval * Math.max(1 / MAX_ADAPT_FACTOR, Math.min(MAX_ADAPT_FACTOR, utilisation)));
            messagesReceived = 0;
            adaptedAt = context.now;
        }
    }

    private static long bounded(double interval) {
        return (long) Math.max(MIN_SYNC_MICROS, Math.min(MAX_SYNC_MICROS, interval));
    }
}
