package reedmux.control.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.control.rpc.Messages.Hello;

/** Input of accepted connections: messages, and bytes that are none. */
public class RpcConnectionTest {
    private static final Hello PEER_HELLO =
            new Hello(Messages.FORMAT_VERSION, "proxy", "edge-1", "10.1.0.1", "a", 5, List.of());

    private static final class RecordingHandler implements RpcConnection.RpcConnectionHandler {
        final List<Object> messages = new ArrayList<>();
        int connects;
        int disconnects;

        @Override
        public void onConnected(RpcConnection connection) {
            connects++;
        }

        @Override
        public void onMessage(RpcConnection connection, Object message) {
            messages.add(message);
        }

        @Override
        public void onDisconnected(RpcConnection connection) {
            disconnects++;
        }
    }

    private static String frame(byte[] bytes) {
        return new String(
                ByteBuffer.allocate(4 + bytes.length)
                        .putInt(bytes.length)
                        .put(bytes)
                        .array(),
                StandardCharsets.ISO_8859_1);
    }

    private static String frame(Object message) {
        return frame(new MessageCodec().encode(message));
    }

    @DataProvider
    public Object[][] malformedInputs() {
        byte[] hello = new MessageCodec().encode(PEER_HELLO);
        return new Object[][] {
            {"GET / HTTP/1.1\r\n\r\n", "no frame"},
            {frame(new byte[0]), "no frame"},
            {frame(Arrays.copyOf(hello, hello.length - 1)), "cannot be read"},
            {frame(new byte[] {99, 1}), "cannot be read"},
            {
                frame(new Hello(Messages.FORMAT_VERSION + 1, "store", "n", "10.0.0.9", "a", 1, List.of())),
                "speaks form " + (Messages.FORMAT_VERSION + 1) + ", here " + Messages.FORMAT_VERSION
            },
            {frame(new Messages.IncarnationAck(1)), "before it said who it is"},
            {frame(new byte[100_000]), "no frame"},
            {frame(PEER_HELLO) + frame(new byte[] {99, 1}), "proxy of edge-1"},
            {frame(PEER_HELLO) + frame(PEER_HELLO), "proxy of edge-1"}
        };
    }

    /** Three connections with the same input get one warning together, and the next connection works. */
    @Test(dataProvider = "malformedInputs")
    public void malformedInputClosesOnlyItsOwnConnection(String bytes, String line) throws IOException {
        ScriptedEnvironment sockets = new ScriptedEnvironment();
        MessageCodec codec = new MessageCodec();
        RecordingHandler owner = new RecordingHandler();
        Hello self = new Hello(Messages.FORMAT_VERSION, "store", "core-1", "10.0.0.1", "a", 3, List.of());
        for (int i = 0; i < 3; i++) {
            RpcConnection.accept(sockets.reactor(), codec, self, sockets.acceptConnection(), owner);
            sockets.sockets.get(i).receive(bytes);
            assertTrue(sockets.sockets.get(i).isClosed());
        }
        assertEquals(owner.disconnects, 3);
        assertEquals(owner.messages.size(), 0);
        assertEquals(sockets.logLines.size(), 1, sockets.logLines.toString());
        assertTrue(sockets.logLines.get(0).contains(line), sockets.logLines.get(0));
        RpcConnection good = RpcConnection.accept(sockets.reactor(), codec, self, sockets.acceptConnection(), owner);
        String all = frame(PEER_HELLO) + frame(new Messages.IncarnationAck(4));
        for (int i = 0; i < all.length(); i++) {
            sockets.sockets.get(3).receive(all.substring(i, i + 1));
        }
        assertTrue(good.isEstablished());
        assertEquals(owner.messages, List.of(new Messages.IncarnationAck(4)));
    }
}
