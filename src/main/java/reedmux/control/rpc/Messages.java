package reedmux.control.rpc;

import java.util.ArrayList;
import java.util.List;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.consensus.Proposal;
import reedmux.control.consensus.Vote;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.instances.InstanceOwner;
import reedmux.control.instances.RegistryHeartbeat;
import reedmux.control.replication.Watermark;
import reedmux.control.session.SessionChanges;

/**
 * The messages that proxies, registries and stores exchange, and the records that they persist on disk. The serializers
 * of this package define their encodings, which never contain a class name.
 *
 * <p>Replication is pull-based. A process numbers its changes. A follower requests the changes after the last one that
 * it has received, and states the incarnation of the process that assigned the number, because each start of a process
 * chooses a new incarnation and restarts the numbering. The response is sent as soon as there is a later change (long
 * polling).
 *
 * <p>The {@code id} of a request is returned in its response.
 */
public final class Messages {
    /** The version of all message encodings; a connection to a process with a different version is closed. */
    public static final int FORMAT_VERSION = 4;

    private Messages() {}

    // ---- Connections --------------------------------------------------------------------------------

    /**
     * The first message in each direction, which identifies the sender.
     *
     * @param program {@code proxy}, {@code registry} or {@code store}
     * @param incarnation identifies the sender's process; chosen when the process starts
     * @param coreIps the IP addresses of the core members that the sender knows
     */
    public record Hello(
            int formatVersion,
            String program,
            String node,
            String ip,
            String zone,
            long incarnation,
            List<String> coreIps) {
        /** Copies the list. */
        public Hello {
            coreIps = new ArrayList<>(coreIps);
        }
    }

    /** Sent on an idle connection, so that it does not time out at the peer. */
    public record KeepAlive() {}

    // ---- Replication of the configuration: store to store, and store to proxy -----------------------

    /**
     * Requests configuration changes from a store, or membership changes from a registry.
     *
     * @param incarnation the process that assigned {@code sinceChange}; if it is not the receiver, everything is sent
     * @param sinceChange the number of the last change that the sender has received
     */
    public record ChangesRequest(long incarnation, long sinceChange) {}

    /**
     * Contains committed items of a store. It is the response to a {@link ChangesRequest}, and the last message of a
     * snapshot.
     *
     * @param upToChange the number of the last change that is included
     * @param complete whether the sender has every change that was ever acknowledged
     * @param pendingProposals the undecided proposals if the receiver is a store; empty if it is a proxy
     */
    public record ConfigurationUpdate(
            long incarnation,
            long upToChange,
            boolean complete,
            List<ConfigurationItem> items,
            List<Proposal> pendingProposals) {
        /** Copies the lists. */
        public ConfigurationUpdate {
            items = new ArrayList<>(items);
            pendingProposals = new ArrayList<>(pendingProposals);
        }
    }

    /**
     * Revisions that were committed and have been superseded. A store sends them to other stores before the items, and
     * persists them on disk.
     */
    public record WatermarkUpdate(List<Watermark> watermarks) {
        /** Copies the list. */
        public WatermarkUpdate {
            watermarks = new ArrayList<>(watermarks);
        }
    }

    /**
     * Notifies a proxy that it has received everything that was committed when it started to pull: the store has
     * contacted a quorum since then.
     */
    public record CaughtUpNotice() {}

    /**
     * A part of a snapshot that is too large for one message. The receiver buffers the chunks and applies them together
     * with the final {@link ConfigurationUpdate}.
     *
     * @param upToChange the number of the last change that is included; negative if the chunk contains the items of key
     *     ranges whose digests differ
     */
    public record SnapshotChunk(long incarnation, long upToChange, List<ConfigurationItem> items) {
        /** Copies the list. */
        public SnapshotChunk {
            items = new ArrayList<>(items);
        }
    }

    /** Requests the next chunk of a snapshot; the chunks up to {@code sinceChange} are received but not applied yet. */
    public record SnapshotChunkRequest(long incarnation, long sinceChange) {}

    /**
     * Starts an anti-entropy repair. It is sent instead of a {@link ChangesRequest} if the sender has items but does
     * not know the receiver's incarnation.
     *
     * @param ranges the coarse key ranges whose fine ranges the digests cover; empty if the digests are those of the
     *     coarse key ranges themselves
     * @param digests the digests of everything that the sender has in these ranges
     */
    public record DigestRequest(List<Integer> ranges, List<Long> digests) {
        /** Copies the lists. */
        public DigestRequest {
            ranges = new ArrayList<>(ranges);
            digests = new ArrayList<>(digests);
        }
    }

    /** Lists the coarse key ranges whose digests differ; the receiver replies with the digests of their fine ranges. */
    public record DigestMismatch(List<Integer> ranges) {
        /** Copies the list. */
        public DigestMismatch {
            ranges = new ArrayList<>(ranges);
        }
    }

    // ---- Consensus on the configuration: store to store ---------------------------------------------

    /**
     * Requests another store to accept a proposal.
     *
     * @param epoch the epoch of the core in which the sender counts a quorum
     */
    public record ProposeRequest(long epoch, Proposal proposal) {}

    /** The vote of one store on a proposal under one ballot. */
    public record VoteResponse(String proposalId, Ballot ballot, Vote vote) {}

    /**
     * The decision on a proposal; also persisted on disk.
     *
     * @param committed true if the items are committed; false if the proposal is dropped, unless it has been accepted
     *     under a higher ballot
     */
    public record DecisionNotice(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        /** Copies the list. */
        public DecisionNotice {
            items = new ArrayList<>(items);
        }
    }

    /** The disk record of a proposal that a store has accepted. */
    public record ProposalRecord(Proposal proposal) {}

    /**
     * Requests confirmation that another store is reachable, on the connection on which the sender pulls from it.
     *
     * @param afterPendingDecisions whether the response is delayed until the currently pending proposals are decided
     */
    public record QuorumContactRequest(long epoch, long id, boolean afterPendingDecisions) {}

    /** Sent by a complete store, after everything that was committed there when it confirmed the contact. */
    public record QuorumContactResponse(long id) {}

    // ---- Membership of the core: store to store, and store to registry and proxy ---------------------

    /**
     * Announces the core that a store knows.
     *
     * @param core the core; null if the store does not know it
     * @param ready whether the store is up to date and is a candidate for joining the core
     * @param fenced whether a change of the core is in progress at the store, which does not vote until it is decided
     */
    public record CoreMembershipNotice(CoreMembers core, boolean ready, boolean fenced) {}

    /** The disk record of the core membership state of a store. */
    public record CoreStateRecord(PersistentCoreState state) {}

    /** Requests everything that a fenced store has after the given change of the given incarnation. */
    public record StateTransferRequest(long epoch, long incarnation, long sinceChange) {}

    /**
     * The response to a {@link StateTransferRequest}.
     *
     * @param votersByProposal for each pending proposal of the update, the proposers for which the sender has voted
     */
    public record StateTransferResponse(long epoch, ConfigurationUpdate update, List<List<String>> votersByProposal) {}

    // ---- Instances and sessions: registry to registry, and registry to proxy --------------------------

    /**
     * Contains the changes at a registry: the response to a {@link ChangesRequest}.
     *
     * @param owners the registry processes to which the instances send their heartbeats, if the receiver is a registry;
     *     empty if it is a proxy
     * @param sessions changes to the sender's own sessions if the receiver is a registry; changes to the sessions
     *     of the merged view if it is a proxy
     */
    public record MembershipUpdate(
            long incarnation,
            long upToChange,
            List<InstanceIncarnation> instances,
            List<InstanceOwner> owners,
            SessionChanges sessions) {
        /** Copies the lists. */
        public MembershipUpdate {
            instances = new ArrayList<>(instances);
            owners = new ArrayList<>(owners);
        }
    }

    /** Incarnations that the receiver must acknowledge; a registry also persists them on disk in this form. */
    public record IncarnationNotice(long id, List<InstanceIncarnation> instances) {
        /** Copies the list. */
        public IncarnationNotice {
            instances = new ArrayList<>(instances);
        }
    }

    /** Acknowledges the incarnations of one {@link IncarnationNotice}. */
    public record IncarnationAck(long id) {}

    /** The latest heartbeat counters of registry processes that the sender has seen; proxies forward them. */
    public record RegistryHeartbeats(List<RegistryHeartbeat> heartbeats) {
        /** Copies the list. */
        public RegistryHeartbeats {
            heartbeats = new ArrayList<>(heartbeats);
        }
    }

    // ---- Operator requests: registry to store, and store to store -------------------------------------

    /** An operator request that changes items; the body is the JSON document of the request. */
    public record ConfigurationChangeRequest(long id, String body) {}

    /** An operator request that reads all items. */
    public record ConfigurationReadRequest(long id) {}

    /**
     * Requests the status of a store. The store responds in JSON, even if it cannot reach a quorum.
     *
     * @param subject the subject of the report, for example {@code items} for {@code Show.Items}
     * @param afterName only entries after this name are returned; empty to start with the first entry
     * @param limit the maximum number of entries to return
     */
    public record StoreStatusRequest(long id, String subject, String afterName, int limit) {}

    /**
     * An operator request to remove a member from the core. With the id {@link #REMOVAL_ORDER_ID} it is the order that
     * the leader sends to the member itself, which is not answered.
     */
    public record CoreRemovalRequest(long id, String node) {
        /** Marks a removal order; the ids of operator requests start at 1. */
        private static final long REMOVAL_ORDER_ID = 0;

        /** Returns the leader's order to a member to leave the core. */
        public static CoreRemovalRequest removalOrder(String node) {
            return new CoreRemovalRequest(REMOVAL_ORDER_ID, node);
        }

        /** Returns whether this is the leader's order to the member itself. */
        public boolean isRemovalOrder() {
            return id == REMOVAL_ORDER_ID;
        }
    }

    /** The HTTP status and body of the response to the operator. */
    public record OperatorResponse(long id, int status, String body) {}
}
