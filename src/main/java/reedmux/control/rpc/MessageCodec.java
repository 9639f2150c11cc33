package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/**
 * Encodes and decodes the messages sent over connections and in datagrams, and the records on disk. An encoded message
 * consists of its id from {@link MessageIds} and its fields, in Kryo's primitive encoding and in the order in which the
 * serializer of its family writes and reads them. Any change to an encoding requires a new
 * {@link Messages#FORMAT_VERSION}.
 *
 * <p>The serializers are written by hand instead of using Kryo's class registry. Building the registry and looking up
 * fields by reflection takes 0.1 s of CPU time at each start of a program, and a lambda per message type takes 0.01 s.
 *
 * <p>Not thread-safe: each instance is used by a single thread, because it reuses its output buffer.
 */
public final class MessageCodec {
    static final int INITIAL_BUFFER_BYTES = 1024;
    private final Output out = new Output(INITIAL_BUFFER_BYTES, RpcConnection.MAX_FRAME_BYTES);

    /**
     * Returns the encoded form of a message.
     *
     * @param message one of {@link Messages}, an epoch message of the core or a quota update
     * @throws IllegalArgumentException if the object is not a message
     */
    public byte[] encode(Object message) {
        out.reset();
        if (!write(message)) {
            throw new IllegalArgumentException("not a message type: " + message.getClass());
        }
        return out.toBytes();
    }

    /** Tries the message families in descending order of how frequently a program sends them. */
    private boolean write(Object message) {
        return QuotaUpdateSerializer.write(message, out)
                || ConnectionSerializer.write(message, out)
                || ReplicationSerializer.write(message, out)
                || InstanceSerializer.write(message, out)
                || ConsensusSerializer.write(message, out)
                || CoreMembershipSerializer.write(message, out)
                || OperatorSerializer.write(message, out);
    }

    /** Like {@link #decode}, but returns null if the bytes are not a valid message. */
    public Object decodeOrNull(byte[] bytes) {
        try {
            return decode(bytes);
        } catch (MessageDecodingException e) {
            return null;
        }
    }

    /**
     * Decodes a message. The bytes must contain exactly one message and nothing else.
     *
     * @throws MessageDecodingException if the bytes are not exactly one valid message; states the offset and the reason
     */
    public Object decode(byte[] bytes) throws MessageDecodingException {
        Input in = new RpcFrame(bytes);
        Object message;
        try {
            message = read(in);
        } catch (RuntimeException e) { // thrown by Kryo, or by constructors whose arguments violate an invariant
            throw new MessageDecodingException(in.position(), e);
        }
        if (in.position() != bytes.length) {
            throw new MessageDecodingException(
                    in.position(), bytes.length - in.position() + " trailing bytes after the message");
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
