package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.KeepAlive;

/** Encodes and decodes the messages that connections exchange for the handshake and to stay alive. */
final class ConnectionSerializer {
    private ConnectionSerializer() {}

    /** Writes a message of this family with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (message instanceof KeepAlive) {
            out.writeByte(MessageIds.KEEP_ALIVE);
        } else if (message instanceof Hello hello) {
            out.writeByte(MessageIds.HELLO);
            out.writeInt(hello.formatVersion());
            out.writeString(hello.program());
            out.writeString(hello.node());
            out.writeString(hello.ip());
            out.writeString(hello.zone());
            out.writeLong(hello.incarnation());
            ListSerializer.writeStrings(hello.coreIps(), out);
        } else {
            return false;
        }
        return true;
    }

    static Object read(byte id, Input in) {
        return switch (id) {
            case MessageIds.KEEP_ALIVE -> new KeepAlive();
            case MessageIds.HELLO ->
                new Hello(
                        in.readInt(),
                        in.readString(),
                        in.readString(),
                        in.readString(),
                        in.readString(),
                        in.readLong(),
                        ListSerializer.readStrings(in));
            default -> throw RpcFrame.unknownId(id);
        };
    }
}
