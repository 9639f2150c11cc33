package reedmux.control.rpc;

import java.util.ArrayList;
import java.util.List;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.ConsensusNode.Vote;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.Proposal;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.replication.Watermark;
import reedmux.control.session.SessionChanges;

/** What the system's own processes tell each other. */
public final class Messages {
    /** The form of the messages; who speaks another one is turned away. */
    public static final int FORMAT_VERSION = 4;

    private Messages() {}

    /** The first message each way: who speaks, and which machines it knows to serve control. */
    public record Hello(
            int formatVersion,
            String program,
            String node,
            String ip,
            String zone,
            long incarnation,
            List<String> coreIps) {
        public Hello {
            coreIps = new ArrayList<>(coreIps);
        }
    }

    /** Nothing but that the sender lives. */
    public record KeepAlive() {}

    /**
     * Asks for what has changed in that life of the asked one since that change; answered once there is any.
     */
    public record ChangesRequest(long incarnation, long sinceChange) {}

    /**
     * Items that are in force at a store; {@code whole}: it has all that was ever acknowledged; {@code held}:
     * for another store, what is not decided on.
     */
    public record ConfigurationUpdate(
            long incarnation,
            long upToChange,
            boolean complete,
            List<ConfigurationItem> items,
            List<Proposal> pendingProposals) {
        public ConfigurationUpdate {
            items = new ArrayList<>(items);
            pendingProposals = new ArrayList<>(pendingProposals);
        }
    }

    /**
     * What has changed at a registry: lives of checkers, and sessions: its own for another registry, the view
     * for a proxy; for another registry also which process each checker calls.
     */
    public record MembershipUpdate(
            long incarnation,
            long upToChange,
            List<CheckerIncarnation> instances,
            List<InstanceDirectory.InstanceOwner> owners,
            SessionChanges sessions) {
        public MembershipUpdate {
            instances = new ArrayList<>(instances);
            owners = new ArrayList<>(owners);
        }
    }

    /** A call of the operator that changes items, handed to a store. */
    public record ConfigurationChangeRequest(long id, String body) {}

    /** The operator asks for all items. */
    public record ConfigurationReadRequest(long id) {}

    /**
     * The operator asks a store what it knows, and as of when: of one thing, so many entries behind a name;
     * answered as an {@link OperatorResponse} in JSON, also where it knows little.
     */
    public record StoreStatusRequest(long id, String subject, String afterName, int limit) {}

    /** What the operator is to be answered. */
    public record OperatorResponse(long id, int status, String body) {}

    /** Asks another store to hold a call's items. */
    public record ProposalRecord(Proposal proposal) {}

    /** What became of that at one store. */
    public record VoteResponse(String callId, Ballot ballot, Vote vote) {}

    /** A call's items are in force, or are to be dropped unless a higher ballot has gone before. */
    public record DecisionNotice(String callId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        public DecisionNotice {
            items = new ArrayList<>(items);
        }
    }

    /** A proposal on its way, with the epoch of the core that its sender counts votes by. */
    public record ProposeRequest(long epoch, Proposal proposal) {}

    /**
     * The core as a store knows it; null where it does not. {@code ready}: the store has everything and would
     * join; {@code fenced}: a change is half done there.
     */
    public record CoreMembershipNotice(CoreMembers core, boolean ready, boolean fenced) {}

    /** What a store keeps of the core on its disk. */
    public record CoreStateRecord(CoreMembership.PersistentCoreState state) {}

    /** Asks a fenced store for all that it has since that change of its life. */
    public record StateTransferRequest(long epoch, long incarnation, long sinceChange) {}

    /**
     * The answer; {@code deciders}: for each call that is held there, whose attempts it has had a vote
     * in.
     */
    public record StateTransferResponse(long epoch, ConfigurationUpdate update, List<List<String>> votersByProposal) {}

    /** The operator orders a member out of the core. */
    public record CoreRemovalRequest(long id, String node) {}

    /** Lives that another process is to know of; it says when it does. */
    public record IncarnationNotice(long id, List<CheckerIncarnation> instances) {
        public IncarnationNotice {
            instances = new ArrayList<>(instances);
        }
    }

    /** Acknowledges the incarnations of one {@link IncarnationNotice}. */
    public record IncarnationAck(long id) {}

    /** How far registries have been heard to count, each second while it lives; proxies pass it on. */
    public record RegistryHeartbeats(List<InstanceDirectory.RegistryHeartbeat> heartbeats) {
        public RegistryHeartbeats {
            heartbeats = new ArrayList<>(heartbeats);
        }
    }

    /** Revisions that were taken and overtaken, from store to store, ahead of the items; and on disk. */
    public record WatermarkUpdate(List<Watermark> watermarks) {
        public WatermarkUpdate {
            watermarks = new ArrayList<>(watermarks);
        }
    }

    /**
     * A store asks another one, over the link on which it pulls, whether they are in touch;
     * {@code settled}: the answer is to wait until what is held now is decided on.
     */
    public record QuorumContactRequest(long epoch, long id, boolean afterPendingDecisions) {}

    /** The answer, by a store that counts itself, behind all that is in force there. */
    public record QuorumContactResponse(long id) {}

    /** To a proxy: a quorum was in touch since it began to pull, and what was in force then has been told. */
    public record CaughtUpNotice() {}

    /** Items of which more is to come; {@code upTo} is below nought where they are as of no change. */
    public record SnapshotChunk(long incarnation, long upToChange, List<ConfigurationItem> items) {
        public SnapshotChunk {
            items = new ArrayList<>(items);
        }
    }

    /** Asks for the next piece, as what came since that change is not taken in yet. */
    public record SnapshotChunkRequest(long incarnation, long sinceChange) {}

    /**
     * In place of a {@link ChangesRequest} where the other's life is not the one that we know: the digests of all that
     * is here, by ranges of keys; of the coarse ranges, or of the fine ones in {@code ranges}.
     */
    public record DigestRequest(List<Integer> ranges, List<Long> digests) {
        public DigestRequest {
            ranges = new ArrayList<>(ranges);
            digests = new ArrayList<>(digests);
        }
    }

    /** The coarse ranges whose digests are others. */
    public record DigestMismatch(List<Integer> ranges) {
        public DigestMismatch {
            ranges = new ArrayList<>(ranges);
        }
    }
}
