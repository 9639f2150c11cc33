package reedmux.control.store;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import reedmux.common.eventloop.Reactor;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.RpcConnection;

/**
 * Takes an operator's requests to remove a member from the core, and forwards them to the leader where that is another
 * store. For the reactor's thread.
 */
final class RemovalForwarder {
    /** How long the leader's answer is waited for; whoever has asked sends the request again. */
    private static final long FORWARD_TIMEOUT_MICROS = 2_000_000;

    private final Reactor reactor;
    private final CoreMembership membership;
    private final PeerConnections peers;
    /** Who is to be answered, by the id of the forwarded request. */
    private final Map<Long, BiConsumer<Integer, String>> pendingReplies = new HashMap<>();

    private long lastRequestId;

    RemovalForwarder(Reactor reactor, CoreMembership membership, PeerConnections peers) {
        this.reactor = reactor;
        this.membership = membership;
        this.peers = peers;
    }

    /**
     * Has a member removed.
     *
     * @param node the name or the IP of the member's machine
     * @param reply hears the HTTP status and a line once, or nothing where the leader does not answer in time
     */
    void requestRemoval(String node, BiConsumer<Integer, String> reply) {
        RpcConnection leader = membership.isLeader()
                ? null
                : peers.outgoingConnectionTo(membership.leader().ip());
        if (leader == null) {
            membership.requestRemoval(reactor.now(), node, reply);
            return;
        }
        long id = ++lastRequestId;
        pendingReplies.put(id, reply);
        leader.sendMessage(new CoreRemovalRequest(id, node));
        reactor.scheduleAfter(FORWARD_TIMEOUT_MICROS, () -> pendingReplies.remove(id));
    }

    /** The leader has answered a request that was forwarded to it. */
    void onLeaderResponse(OperatorResponse response) {
        BiConsumer<Integer, String> reply = pendingReplies.remove(response.id());
        if (reply != null) {
            reply.accept(response.status(), response.body());
        }
    }
}
