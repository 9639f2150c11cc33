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
 * Handles operators' requests to remove a member from the core, and forwards them to the leader if that is another
 * store. Not thread-safe; confined to the reactor thread.
 */
final class RemovalForwarder {
    /** Time after which a forwarded request is dropped without a reply; the client retries it. */
    private static final long FORWARD_TIMEOUT_MICROS = 2_000_000;

    private final Reactor reactor;
    private final CoreMembership membership;
    private final PeerConnections peers;
    /** Reply callbacks, keyed by the id of the forwarded request. */
    private final Map<Long, BiConsumer<Integer, String>> pendingReplies = new HashMap<>();

    private long lastRequestId;

    RemovalForwarder(Reactor reactor, CoreMembership membership, PeerConnections peers) {
        this.reactor = reactor;
        this.membership = membership;
        this.peers = peers;
    }

    /**
     * Removes a member from the core, or forwards the request to the leader.
     *
     * @param node the name or the IP address of the member's machine
     * @param reply called once with the HTTP status and a line of text; never called if the leader does not answer in
     *     time
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

    /** Passes the leader's response to a forwarded request on to the client. */
    void onLeaderResponse(OperatorResponse response) {
        BiConsumer<Integer, String> reply = pendingReplies.remove(response.id());
        if (reply != null) {
            reply.accept(response.status(), response.body());
        }
    }
}
