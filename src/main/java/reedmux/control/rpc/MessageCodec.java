package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/**
 * Encodes and decodes messages, for connections, datagrams and disks. An encoded message is its id from
 * {@link MessageIds} and then its fields, in Kryo's primitive encoding and in the order in which the serializer of its
 * family reads and writes them. A change to any form requires another {@link Messages#FORMAT_VERSION}.
 *
 * <p>Forms are written out by hand, and Kryo's class registry is not used: building it, and looking up the fields by
 * reflection, costs 0.1 s of CPU at each start of a program, and a lambda per form 0.01 s.
 *
 * <p>Not thread-safe: an instance belongs to one thread, as it reuses its output buffer.
 */
public final class MessageCodec {
    static final int INITIAL_BUFFER_BYTES = 1024;
    private final Output out = new Output(INITIAL_BUFFER_BYTES, RpcConnection.MAX_FRAME_BYTES);

    /**
     * Returns the encoded form of a message.
     *
     * @param message one of {@link Messages}, an epoch message of the core or a quota update
     * @throws IllegalArgumentException if the object is no message
     */
    public byte[] encode(Object message) {
        out.reset();
        if (!write(message)) {
            throw new IllegalArgumentException("not a message: " + message.getClass());
        }
        return out.toBytes();
    }

    /** The families in the order of how often a program sends them. */
    private boolean write(Object message) {
        return QuotaUpdateSerializer.write(message, out)
                || ConnectionSerializer.write(message, out)
                || ReplicationSerializer.write(message, out)
                || InstanceSerializer.write(message, out)
                || ConsensusSerializer.write(message, out)
                || CoreMembershipSerializer.write(message, out)
                || OperatorSerializer.write(message, out);
    }

    /** Like {@link #decode}, but returns null where the bytes are not a message. */
    public Object decodeOrNull(byte[] bytes) {
        try {
            return decode(bytes);
        } catch (MessageDecodingException e) {
            return null;
        }
    }

    /**
     * Returns the message that the bytes encode, which have to hold nothing besides.
     *
     * @throws MessageDecodingException if they are not one whole message; it names the offset and the reason
     */
    public Object decode(byte[] bytes) throws MessageDecodingException {
        Input in = new RpcFrame(bytes);
        Object message;
        try {
            message = read(in);
        } catch (RuntimeException e) { // Kryo's own, and those of values that violate the invariants of their type
            throw new MessageDecodingException(in.position(), e);
        }
        if (in.position() != bytes.length) {
            throw new MessageDecodingException(
                    in.position(), bytes.length - in.position() + " bytes follow the message");
        }
        return message;
    }

    private static Object read(Input in) {
        byte id = in.readByte();
        return switch (id) {
            case MessageIds.QUOTA_UPDATE -> QuotaUpdateSerializer.read(in);
            case MessageIds.HELLO, MessageIds.KEEP_ALIVE -> ConnectionSerializer.read(id, in);
            case MessageIds.CHANGES_REQUEST,
                    MessageIds.CONFIGURATION_UPDATE,
                    MessageIds.CONFIGURATION_UPDATE_WITHOUT_PROPOSALS,
                    MessageIds.WATERMARK_UPDATE,
                    MessageIds.CAUGHT_UP_NOTICE,
                    MessageIds.SNAPSHOT_CHUNK,
                    MessageIds.SNAPSHOT_CHUNK_REQUEST,
                    MessageIds.DIGEST_REQUEST,
                    MessageIds.DIGEST_MISMATCH -> ReplicationSerializer.read(id, in);
            case MessageIds.MEMBERSHIP_UPDATE,
                    MessageIds.INCARNATION_NOTICE,
                    MessageIds.INCARNATION_ACK,
                    MessageIds.REGISTRY_HEARTBEATS -> InstanceSerializer.read(id, in);
            case MessageIds.PROPOSE_REQUEST,
                    MessageIds.VOTE_RESPONSE,
                    MessageIds.DECISION_NOTICE,
                    MessageIds.DECISION_NOTICE_WITHOUT_BALLOT,
                    MessageIds.PROPOSAL_RECORD,
                    MessageIds.PROPOSAL_RECORD_WITHOUT_PRECOMMIT,
                    MessageIds.PROPOSAL_RECORD_WITHOUT_BALLOT,
                    MessageIds.QUORUM_CONTACT_REQUEST,
                    MessageIds.QUORUM_CONTACT_RESPONSE -> ConsensusSerializer.read(id, in);
            case MessageIds.CORE_MEMBERSHIP_NOTICE,
                    MessageIds.CORE_STATE_RECORD,
                    MessageIds.EPOCH_MESSAGE,
                    MessageIds.STATE_TRANSFER_REQUEST,
                    MessageIds.STATE_TRANSFER_RESPONSE -> CoreMembershipSerializer.read(id, in);
            case MessageIds.CONFIGURATION_CHANGE_REQUEST,
                    MessageIds.CONFIGURATION_READ_REQUEST,
                    MessageIds.STORE_STATUS_REQUEST,
                    MessageIds.CORE_REMOVAL_REQUEST,
                    MessageIds.OPERATOR_RESPONSE -> OperatorSerializer.read(id, in);
            default -> throw RpcFrame.unknownId(id);
        };
    }
}
