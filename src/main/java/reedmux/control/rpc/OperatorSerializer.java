package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import reedmux.control.rpc.Messages.ConfigurationChangeRequest;
import reedmux.control.rpc.Messages.ConfigurationReadRequest;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.StoreStatusRequest;

/** Encodes and decodes the operator requests that registries forward to stores, and the responses to them. */
final class OperatorSerializer {
    private OperatorSerializer() {}

    /** Writes a message of this family with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (message instanceof ConfigurationChangeRequest request) {
            out.writeByte(MessageIds.CONFIGURATION_CHANGE_REQUEST);
            out.writeLong(request.id());
            out.writeString(request.body());
        } else if (message instanceof ConfigurationReadRequest request) {
            out.writeByte(MessageIds.CONFIGURATION_READ_REQUEST);
            out.writeLong(request.id());
        } else if (message instanceof StoreStatusRequest request) {
            out.writeByte(MessageIds.STORE_STATUS_REQUEST);
            out.writeLong(request.id());
            out.writeString(request.subject());
            out.writeString(request.afterName());
            out.writeInt(request.limit());
        } else if (message instanceof CoreRemovalRequest request) {
            out.writeByte(MessageIds.CORE_REMOVAL_REQUEST);
            out.writeLong(request.id());
            out.writeString(request.node());
        } else if (message instanceof OperatorResponse response) {
            out.writeByte(MessageIds.OPERATOR_RESPONSE);
            out.writeLong(response.id());
            out.writeInt(response.status());
            out.writeString(response.body());
        } else {
            return false;
        }
        return true;
    }

    static Object read(byte id, Input in) {
        return switch (id) {
            case MessageIds.CONFIGURATION_CHANGE_REQUEST ->
                new ConfigurationChangeRequest(in.readLong(), in.readString());
            case MessageIds.CONFIGURATION_READ_REQUEST -> new ConfigurationReadRequest(in.readLong());
            case MessageIds.STORE_STATUS_REQUEST ->
                new StoreStatusRequest(in.readLong(), in.readString(), in.readString(), in.readInt());
            case MessageIds.CORE_REMOVAL_REQUEST -> new CoreRemovalRequest(in.readLong(), in.readString());
            case MessageIds.OPERATOR_RESPONSE -> new OperatorResponse(in.readLong(), in.readInt(), in.readString());
            default -> throw RpcFrame.unknownId(id);
        };
    }
}
