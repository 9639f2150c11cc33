package reedmux.control.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.compatibility.FixtureFiles;

/** Tests that frames sent by an earlier version are decoded, and that this version encodes them to the same bytes. */
public class RpcCompatibilityTest {
    private static final int LENGTH_BYTES = 4;

    private static byte[] payload(byte[] frame) {
        return Arrays.copyOfRange(frame, LENGTH_BYTES, frame.length);
    }

    @Test
    public void decodesAndEncodesEveryFixtureFrame() throws IOException {
        MessageCodec codec = new MessageCodec();
        Map<String, byte[]> frames = FixtureFiles.readFrames("rpc-frames.txt");
        Map<String, Object> expected = RpcFixtures.messages();
        assertEquals(List.copyOf(frames.keySet()), List.copyOf(expected.keySet()));
        for (Map.Entry<String, byte[]> frame : frames.entrySet()) {
            String name = frame.getKey();
            assertEquals(codec.decodeOrNull(payload(frame.getValue())), expected.get(name), name);
            assertEquals(RpcFixtures.framed(codec.encode(expected.get(name))), frame.getValue(), name);
        }
    }

    @Test
    public void decodesFormatsThatAreNoLongerWritten() throws IOException {
        Map<String, byte[]> frames = FixtureFiles.readFrames("rpc-frames-read-only.txt");
        Map<String, Object> expected = RpcFixtures.readOnlyMessages();
        assertEquals(frames.keySet(), expected.keySet());
        for (Map.Entry<String, byte[]> frame : frames.entrySet()) {
            assertEquals(
                    new MessageCodec().decodeOrNull(frame.getValue()), expected.get(frame.getKey()), frame.getKey());
        }
    }

    /** Fails if a message type is added without adding a frame to the fixture. */
    @Test
    public void fixtureCoversEveryMessageType() {
        Set<Class<?>> covered = new HashSet<>();
        RpcFixtures.messages().values().forEach(message -> covered.add(message.getClass()));
        for (Class<?> type : Messages.class.getDeclaredClasses()) {
            assertTrue(!type.isRecord() || covered.contains(type), type + " has no frame in the fixture");
        }
    }

    @Test
    public void connectionDispatchesEveryFixtureFrame() throws IOException {
        ScriptedEnvironment environment = new ScriptedEnvironment();
        List<Object> received = new ArrayList<>();
        RpcConnection.RpcConnectionHandler handler = new RpcConnection.RpcConnectionHandler() {
            @Override
            public void onConnected(RpcConnection connection) {
                received.add(connection.peer());
            }

            @Override
            public void onMessage(RpcConnection connection, Object message) {
                received.add(message);
            }

            @Override
            public void onDisconnected(RpcConnection connection) {
                throw new AssertionError("connection closed after " + received);
            }
        };
        Messages.Hello localHello =
                new Messages.Hello(Messages.FORMAT_VERSION, "proxy", "edge-1", "10.1.0.1", "a", 5, List.of());
        RpcConnection.accept(
                environment.reactor(), new MessageCodec(), localHello, environment.acceptConnection(), handler);
        for (byte[] frame : FixtureFiles.readFrames("rpc-frames.txt").values()) {
            environment.sockets.get(0).receive(new String(frame, StandardCharsets.ISO_8859_1));
        }
        List<Object> expected = new ArrayList<>(RpcFixtures.messages().values());
        expected.remove(new Messages.KeepAlive()); // handled by the connection and not passed to the handler
        assertEquals(received, expected);
    }
}
