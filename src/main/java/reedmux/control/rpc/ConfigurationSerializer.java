package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.List;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Watermark;

/** Encodes and decodes the values that replication and consensus messages contain. */
final class ConfigurationSerializer {
    private ConfigurationSerializer() {}

    static void writeItems(List<ConfigurationItem> items, Output out) {
        out.writeVarInt(items.size(), true);
        for (ConfigurationItem item : items) {
            out.writeString(item.kind());
            out.writeString(item.name());
            out.writeVarLong(item.revision(), true);
            out.writeString(item.body());
        }
    }

    static List<ConfigurationItem> readItems(Input in) {
        int size = in.readVarInt(true);
        List<ConfigurationItem> items = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            items.add(new ConfigurationItem(in.readString(), in.readString(), in.readVarLong(true), in.readString()));
        }
        return items;
    }

    static void writeWatermarks(List<Watermark> watermarks, Output out) {
        out.writeVarInt(watermarks.size(), true);
        for (Watermark watermark : watermarks) {
            out.writeString(watermark.key());
            out.writeVarLong(watermark.revision(), true);
            out.writeLong(watermark.digest());
        }
    }

    static List<Watermark> readWatermarks(Input in) {
        int size = in.readVarInt(true);
        List<Watermark> watermarks = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            watermarks.add(new Watermark(in.readString(), in.readVarLong(true), in.readLong()));
        }
        return watermarks;
    }

    static void writeProposals(List<Proposal> proposals, Output out) {
        out.writeVarInt(proposals.size(), true);
        for (Proposal proposal : proposals) {
            writeProposal(proposal, out);
        }
    }

    static List<Proposal> readProposals(Input in) {
        int size = in.readVarInt(true);
        List<Proposal> proposals = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            proposals.add(readProposal(in));
        }
        return proposals;
    }

    static void writeProposal(Proposal proposal, Output out) {
        out.writeString(proposal.id());
        writeBallot(proposal.ballot(), out);
        writeItems(proposal.items(), out);
        out.writeBoolean(proposal.precommitted());
    }

    static Proposal readProposal(Input in) {
        return new Proposal(in.readString(), readBallot(in), readItems(in), in.readBoolean());
    }

    static void writeBallot(Ballot ballot, Output out) {
        out.writeVarLong(ballot.number(), true);
        out.writeString(ballot.proposer());
    }

    static Ballot readBallot(Input in) {
        return new Ballot(in.readVarLong(true), in.readString());
    }

    /** Writes a ballot that may be null: a flag, followed by the ballot if there is one. */
    static void writeOptionalBallot(Ballot ballot, Output out) {
        out.writeBoolean(ballot != null);
        if (ballot != null) {
            writeBallot(ballot, out);
        }
    }

    static Ballot readOptionalBallot(Input in) {
        return in.readBoolean() ? readBallot(in) : null;
    }
}
