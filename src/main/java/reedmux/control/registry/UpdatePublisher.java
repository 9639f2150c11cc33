package reedmux.control.registry;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.session.SessionTable;

/**
 * Answers the {@link ChangesRequest}s of registries and proxies with what has changed since. A request without any
 * change to report waits for the next one. Changes that come together are sent together: the more proxies there are,
 * the longer they are gathered, as each change may have to be sent to all of them.
 */
final class UpdatePublisher {
    private static final long BATCH_DELAY_PER_SESSION_MICROS = 2_000;
    private static final long MAX_BATCH_DELAY_MICROS = 200_000;

    /** The change of a reader that has nothing yet, or something of an earlier incarnation of this registry. */
    private static final long NO_CHANGE = -1;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final long localIncarnation;
    private final ChangeCounter counter;
    private final InstanceDirectory directory;
    private final SessionTable sessions;
    /** Connections with a request that is not answered yet. */
    private final Set<RpcConnection> waitingConnections = new LinkedHashSet<>();
    /** The last change that was published, or is about to be. */
    private long publishedChange;

    private boolean flushScheduled;

    /** What a connection waits for, attached to it; null while it waits for nothing. */
    private record ChangeSubscription(long sinceChange) {}

    UpdatePublisher(
            Reactor reactor,
            MessageCodec codec,
            long localIncarnation,
            ChangeCounter counter,
            InstanceDirectory directory,
            SessionTable sessions) {
        this.reactor = reactor;
        this.codec = codec;
        this.localIncarnation = localIncarnation;
        this.counter = counter;
        this.directory = directory;
        this.sessions = sessions;
    }

    /** Answers a request at once where the reader knows nothing of this incarnation, and else with the next flush. */
    void onRequest(RpcConnection connection, ChangesRequest request) {
        boolean knowsThisIncarnation = request.incarnation() == localIncarnation;
        connection.attachment(new ChangeSubscription(knowsThisIncarnation ? request.sinceChange() : NO_CHANGE));
        waitingConnections.add(connection);
        if (!knowsThisIncarnation) {
            sendUpdate(connection, null);
        } else if (counter.last() > request.sinceChange()) {
            scheduleFlush();
        }
    }

    void onDisconnected(RpcConnection connection) {
        waitingConnections.remove(connection);
    }

    /** Has what has changed of instances and sessions sent to those that wait for changes. */
    void publishChanges() {
        sessions.recordViewChanges(reactor.now());
        if (counter.last() != publishedChange) {
            publishedChange = counter.last();
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            long delay =
                    Math.min(sessions.localSessionCount() * BATCH_DELAY_PER_SESSION_MICROS, MAX_BATCH_DELAY_MICROS);
            reactor.scheduleAfter(delay, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        Map<Long, byte[]> encodedBySinceChange = new HashMap<>();
        for (RpcConnection connection : List.copyOf(waitingConnections)) {
            sendUpdate(connection, encodedBySinceChange);
        }
    }

    /**
     * Answers what a connection waits for, if there is anything.
     *
     * @param encodedBySinceChange the updates to proxies that this flush has encoded, by the change that they start from;
     *     null where there is no flush
     */
    private void sendUpdate(RpcConnection connection, Map<Long, byte[]> encodedBySinceChange) {
        ChangeSubscription subscription = connection.attachment();
        if (subscription == null || subscription.sinceChange() >= counter.last()) {
            return;
        }
        long sinceChange = subscription.sinceChange();
        boolean peerIsRegistry = connection.peer().program().equals(Registry.PROGRAM_NAME);
        boolean shared = !peerIsRegistry && encodedBySinceChange != null;
        byte[] encoded = shared ? encodedBySinceChange.get(sinceChange) : null;
        if (encoded == null) {
            sessions.recordViewChanges(reactor.now());
            MembershipUpdate update = peerIsRegistry ? updateForRegistry(sinceChange) : updateForProxy(sinceChange);
            if (isEmpty(update)) {
                // What has changed is not for this reader.
                connection.attachment(new ChangeSubscription(counter.last()));
                return;
            }
            encoded = codec.encode(update);
            if (shared) {
                encodedBySinceChange.put(sinceChange, encoded);
            }
        }
        connection.attachment(null);
        waitingConnections.remove(connection);
        connection.sendEncoded(encoded);
    }

    /** Registries merge the sessions themselves, each from those that the others have, and need the owners. */
    private MembershipUpdate updateForRegistry(long sinceChange) {
        return new MembershipUpdate(
                localIncarnation,
                counter.last(),
                directory.changedSince(sinceChange, reactor.now()),
                directory.ownersChangedSince(sinceChange),
                sessions.localChangesSince(sinceChange));
    }

    private MembershipUpdate updateForProxy(long sinceChange) {
        return new MembershipUpdate(
                localIncarnation,
                counter.last(),
                directory.changedSince(sinceChange, reactor.now()),
                List.of(),
                sessions.viewChangesSince(sinceChange));
    }

    private static boolean isEmpty(MembershipUpdate update) {
        return update.instances().isEmpty()
                && update.owners().isEmpty()
                && update.sessions().isEmpty();
    }
}
