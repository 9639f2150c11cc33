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

/** Tests how accepted connections handle valid and malformed input. */
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
            {"GET / HTTP/1.1\r\n\r\n", "frame length " + 0x47455420 + " is invalid"},
            {frame(new byte[0]), "frame length 0 is invalid"},
            {frame(Arrays.copyOf(hello, hello.length - 1)), "cannot be decoded"},
            {frame(new byte[] {99, 1}), "cannot be decoded"},
            {
                frame(new Hello(Messages.FORMAT_VERSION + 1, "store", "n", "10.0.0.9", "a", 1, List.of())),
                "uses format version " + (Messages.FORMAT_VERSION + 1) + ", expected " + Messages.FORMAT_VERSION
            },
            {frame(new Messages.IncarnationAck(1)), "message received before Hello"},
            {frame(new byte[100_000]), "frame length 100000 is invalid"},
            {frame(PEER_HELLO) + frame(new byte[] {99, 1}), "proxy on edge-1"},
            {frame(PEER_HELLO) + frame(PEER_HELLO), "proxy on edge-1"}
        };
    }

    /** Three connections with the same malformed input log a single warning, and the next connection works. */
    @Test(dataProvider = "malformedInputs")
    public void malformedInputClosesOnlyItsOwnConnection(String input, String expectedWarning) throws IOException {
        ScriptedEnvironment environment = new ScriptedEnvironment();
        MessageCodec codec = new MessageCodec();
        RecordingHandler handler = new RecordingHandler();
        Hello localHello = new Hello(Messages.FORMAT_VERSION, "store", "core-1", "10.0.0.1", "a", 3, List.of());
        for (int i = 0; i < 3; i++) {
            RpcConnection.accept(environment.reactor(), codec, localHello, environment.acceptConnection(), handler);
            environment.sockets.get(i).receive(input);
            assertTrue(environment.sockets.get(i).isClosed());
        }
        assertEquals(handler.disconnects, 3);
        assertEquals(handler.messages.size(), 0);
        assertEquals(environment.logLines.size(), 1, environment.logLines.toString());
        assertTrue(environment.logLines.get(0).contains(expectedWarning), environment.logLines.get(0));
        RpcConnection validConnection =
                RpcConnection.accept(environment.reactor(), codec, localHello, environment.acceptConnection(), handler);
        String validInput = frame(PEER_HELLO) + frame(new Messages.IncarnationAck(4));
        for (int i = 0; i < validInput.length(); i++) {
            environment.sockets.get(3).receive(validInput.substring(i, i + 1));
        }
        assertTrue(validConnection.isEstablished());
        assertEquals(handler.messages, List.of(new Messages.IncarnationAck(4)));
    }
}
