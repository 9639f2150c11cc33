package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.Proposal;
import reedmux.control.consensus.Vote;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.ProposeRequest;
import reedmux.control.rpc.Messages.QuorumContactRequest;
import reedmux.control.rpc.Messages.QuorumContactResponse;
import reedmux.control.rpc.Messages.VoteResponse;

/** Encodes and decodes the messages with which stores decide on proposals, and the proposals and decisions on disk. */
final class ConsensusSerializer {
    /** The ballot assigned to proposals written before ballots were introduced; lower than any ballot in use now. */
    private static final Ballot NO_BALLOT = new Ballot(1, "");

    private ConsensusSerializer() {}

    /** Writes a message of this family with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (message instanceof ProposeRequest request) {
            out.writeByte(MessageIds.PROPOSE_REQUEST);
            out.writeLong(request.epoch());
            ConfigurationSerializer.writeProposal(request.proposal(), out);
        } else if (message instanceof VoteResponse response) {
            out.writeByte(MessageIds.VOTE_RESPONSE);
            out.writeString(response.proposalId());
            ConfigurationSerializer.writeBallot(response.ballot(), out);
            out.writeByte(response.vote().ordinal());
        } else if (message instanceof DecisionNotice decision) {
            out.writeByte(MessageIds.DECISION_NOTICE);
            out.writeString(decision.proposalId());
            ConfigurationSerializer.writeBallot(decision.ballot(), out);
            out.writeBoolean(decision.committed());
            ConfigurationSerializer.writeItems(decision.items(), out);
        } else if (message instanceof ProposalRecord record) {
            out.writeByte(MessageIds.PROPOSAL_RECORD);
            ConfigurationSerializer.writeProposal(record.proposal(), out);
        } else if (message instanceof QuorumContactRequest request) {
            out.writeByte(MessageIds.QUORUM_CONTACT_REQUEST);
            out.writeLong(request.epoch());
            out.writeLong(request.id());
            out.writeBoolean(request.afterPendingDecisions());
        } else if (message instanceof QuorumContactResponse response) {
            out.writeByte(MessageIds.QUORUM_CONTACT_RESPONSE);
            out.writeLong(response.id());
        } else {
            return false;
        }
        return true;
    }

    static Object read(byte id, Input in) {
        return switch (id) {
            case MessageIds.PROPOSE_REQUEST ->
                new ProposeRequest(in.readLong(), ConfigurationSerializer.readProposal(in));
            case MessageIds.VOTE_RESPONSE ->
                new VoteResponse(in.readString(), ConfigurationSerializer.readBallot(in), Vote.values()[in.readByte()]);
            case MessageIds.DECISION_NOTICE ->
                new DecisionNotice(
                        in.readString(),
                        ConfigurationSerializer.readBallot(in),
                        in.readBoolean(),
                        ConfigurationSerializer.readItems(in));
            case MessageIds.DECISION_NOTICE_WITHOUT_BALLOT ->
                new DecisionNotice(in.readString(), NO_BALLOT, in.readBoolean(), ConfigurationSerializer.readItems(in));
            case MessageIds.PROPOSAL_RECORD -> new ProposalRecord(ConfigurationSerializer.readProposal(in));
            case MessageIds.PROPOSAL_RECORD_WITHOUT_PRECOMMIT ->
                new ProposalRecord(new Proposal(
                        in.readString(),
                        ConfigurationSerializer.readBallot(in),
                        ConfigurationSerializer.readItems(in)));
            case MessageIds.PROPOSAL_RECORD_WITHOUT_BALLOT ->
                new ProposalRecord(new Proposal(in.readString(), NO_BALLOT, ConfigurationSerializer.readItems(in)));
            case MessageIds.QUORUM_CONTACT_REQUEST ->
                new QuorumContactRequest(in.readLong(), in.readLong(), in.readBoolean());
            case MessageIds.QUORUM_CONTACT_RESPONSE -> new QuorumContactResponse(in.readLong());
            default -> throw RpcFrame.unknownId(id);
        };
    }
}
