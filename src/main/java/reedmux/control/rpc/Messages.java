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
 * The messages that proxies, registries and stores exchange, and the records that they keep on disk. Their encoded
 * forms are in the serializers of this package; a class name is never a part of them.
 *
 * <p>Replication is by pulling. A process numbers its changes, and a reader names the last one that it has, together
 * with the incarnation of the process whose numbers these are: every start of a process draws another incarnation and
 * begins to count anew. A request is answered as soon as there is a change behind that number.
 *
 * <p>An {@code id} in a request comes back in its response.
 */
public final class Messages {
    /** The version of the encoded forms; a connection to a process with another one is closed. */
    public static final int FORMAT_VERSION = 4;

    private Messages() {}

    // ---- Connections --------------------------------------------------------------------------------

    /**
     * The first message in each direction: who the sender is.
     *
     * @param program {@code proxy}, {@code registry} or {@code store}
     * @param incarnation drawn at the start of the sender's process
     * @param coreIps the machines of the core that the sender knows of
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

    /** Sent where there is nothing else to send, so that the peer does not time the connection out. */
    public record KeepAlive() {}

    // ---- Replication of the configuration: store to store, and store to proxy -----------------------

    /**
     * Asks a store for configuration changes, or a registry for membership changes.
     *
     * @param incarnation whose numbers {@code sinceChange} is from; where it is not the receiver's, all is sent
     * @param sinceChange the last change that the sender has
     */
    public record ChangesRequest(long incarnation, long sinceChange) {}

    /**
     * Committed items of a store: the response to a {@link ChangesRequest}, and the last message of a snapshot.
     *
     * @param upToChange the number of the last change that is contained
     * @param complete whether the sender has everything that was ever acknowledged
     * @param pendingProposals to another store, the proposals that are not decided yet; to a proxy, none
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

    /** Revisions that were taken and superseded; sent by a store to another ahead of the items, and kept on disk. */
    public record WatermarkUpdate(List<Watermark> watermarks) {
        /** Copies the list. */
        public WatermarkUpdate {
            watermarks = new ArrayList<>(watermarks);
        }
    }

    /** Tells a proxy that it has everything that was committed when it began to pull: a quorum was reached since. */
    public record CaughtUpNotice() {}

    /**
     * A part of a snapshot that is too large for one message; the receiver applies the parts together, with the
     * {@link ConfigurationUpdate} that ends them.
     *
     * @param upToChange the last change that is contained; negative where the items are those of differing digests
     */
    public record SnapshotChunk(long incarnation, long upToChange, List<ConfigurationItem> items) {
        /** Copies the list. */
        public SnapshotChunk {
            items = new ArrayList<>(items);
        }
    }

    /** Asks for the next chunk of a snapshot; what came since {@code sinceChange} is not applied yet. */
    public record SnapshotChunkRequest(long incarnation, long sinceChange) {}

    /**
     * Starts an anti-entropy repair in place of a {@link ChangesRequest}, where the sender has items but does not know
     * the receiver's incarnation.
     *
     * @param ranges empty: the digests are those of the coarse key ranges; else those of the fine ones within these
     * @param digests of everything that the sender has
     */
    public record DigestRequest(List<Integer> ranges, List<Long> digests) {
        /** Copies the lists. */
        public DigestRequest {
            ranges = new ArrayList<>(ranges);
            digests = new ArrayList<>(digests);
        }
    }

    /** The coarse key ranges whose digests differ; the receiver then sends those of the fine ranges within them. */
    public record DigestMismatch(List<Integer> ranges) {
        /** Copies the list. */
        public DigestMismatch {
            ranges = new ArrayList<>(ranges);
        }
    }

    // ---- Consensus on the configuration: store to store ---------------------------------------------

    /**
     * Asks another store to accept a proposal.
     *
     * @param epoch of the core whose quorum the sender counts
     */
    public record ProposeRequest(long epoch, Proposal proposal) {}

    /** The vote of one store on a proposal under one ballot. */
    public record VoteResponse(String proposalId, Ballot ballot, Vote vote) {}

    /**
     * The outcome of a proposal, also as it is kept on disk.
     *
     * @param committed the items are committed; else the proposal is dropped, unless a higher ballot has been accepted
     */
    public record DecisionNotice(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        /** Copies the list. */
        public DecisionNotice {
            items = new ArrayList<>(items);
        }
    }

    /** A proposal that a store has accepted, as it is kept on disk. */
    public record ProposalRecord(Proposal proposal) {}

    /**
     * Asks another store whether it can be reached, over the connection on which the sender pulls from it.
     *
     * @param afterPendingDecisions the response waits until the proposals that are pending now are decided
     */
    public record QuorumContactRequest(long epoch, long id, boolean afterPendingDecisions) {}

    /** Sent by a complete store, after everything that is committed there. */
    public record QuorumContactResponse(long id) {}

    // ---- Membership of the core: store to store, and store to registry and proxy ---------------------

    /**
     * The core as a store knows it.
     *
     * @param core null where the store does not know it
     * @param ready the store has everything and would join
     * @param fenced a change of the core is in progress at the store, which does not vote until that is decided
     */
    public record CoreMembershipNotice(CoreMembers core, boolean ready, boolean fenced) {}

    /** What a store keeps of the core on its disk. */
    public record CoreStateRecord(PersistentCoreState state) {}

    /** Asks a fenced store for everything that it has behind a change of its incarnation. */
    public record StateTransferRequest(long epoch, long incarnation, long sinceChange) {}

    /**
     * The response to a {@link StateTransferRequest}.
     *
     * @param votersByProposal for each pending proposal of the update, the proposers that the sender has voted for
     */
    public record StateTransferResponse(long epoch, ConfigurationUpdate update, List<List<String>> votersByProposal) {}

    // ---- Instances and sessions: registry to registry, and registry to proxy --------------------------

    /**
     * What has changed at a registry: the response to a {@link ChangesRequest}.
     *
     * @param owners to another registry, the registry processes that the instances call; to a proxy, none
     * @param sessions to another registry, the sender's own ones; to a proxy, those of the merged view
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

    /** Incarnations that the receiver is to acknowledge; also as a registry keeps them on disk. */
    public record IncarnationNotice(long id, List<InstanceIncarnation> instances) {
        /** Copies the list. */
        public IncarnationNotice {
            instances = new ArrayList<>(instances);
        }
    }

    /** Acknowledges the incarnations of one {@link IncarnationNotice}. */
    public record IncarnationAck(long id) {}

    /** The heartbeat counters of registry processes, as far as the sender has seen them; proxies forward them. */
    public record RegistryHeartbeats(List<RegistryHeartbeat> heartbeats) {
        /** Copies the list. */
        public RegistryHeartbeats {
            heartbeats = new ArrayList<>(heartbeats);
        }
    }

    // ---- Calls of the operator: registry to store, and store to store ---------------------------------

    /** A call that changes items; the body is its JSON. */
    public record ConfigurationChangeRequest(long id, String body) {}

    /** A call that reads all items. */
    public record ConfigurationReadRequest(long id) {}

    /**
     * Asks a store what it knows; it responds in JSON, also where it cannot reach a quorum.
     *
     * @param subject what to report on, as in {@code Show.Items}
     * @param afterName the entries start behind this name; empty for the first ones
     * @param limit the most entries to return
     */
    public record StoreStatusRequest(long id, String subject, String afterName, int limit) {}

    /**
     * A call that removes a member from the core. Under the id {@link #REMOVAL_ORDER_ID} it is the leader's word to the member
     * itself, which is not responded to.
     */
    public record CoreRemovalRequest(long id, String node) {
        /** Calls of operators have ids from 1 on. */
        private static final long REMOVAL_ORDER_ID = 0;

        /** The leader's word to a member. */
        public static CoreRemovalRequest removalOrder(String node) {
            return new CoreRemovalRequest(REMOVAL_ORDER_ID, node);
        }

        /** Whether it is the leader's word to the member itself. */
        public boolean isRemovalOrder() {
            return id == REMOVAL_ORDER_ID;
        }
    }

    /** The HTTP status and body that the operator is to receive. */
    public record OperatorResponse(long id, int status, String body) {}
}
