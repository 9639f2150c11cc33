package reedmux.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.handover.HandoverConnection;
import reedmux.gatekeeper.handover.HandoverFrame;
import reedmux.gatekeeper.handover.HandoverFrameCodec;

/** One gatekeeper takes another's place on real sockets, and all that can go wrong with it. */
public final class HandoverTest {
    /** No verdict hangs on it: it only ends a test that would otherwise wait for ever. */
    private static final int TIMEOUT_MILLIS = 10_000;

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private final List<RunningGatekeeper> gatekeepers = new ArrayList<>();
    private ServerSocket provider;
    private ServerSocket discovery;
    private Path handoverSocketPath;
    private int port;

    /** A gatekeeper with its thread and its log. */
    private final class RunningGatekeeper {
        final BlockingQueue<String> log = new LinkedBlockingQueue<>();
        final GatekeeperProcess gatekeeper;
        final Thread thread;

        RunningGatekeeper() throws Exception {
            gatekeeper = new GatekeeperProcess(
                    LoadedConfiguration.platformOnly(config()), new MonotonicClock(), log::add, handoverSocketPath);
            thread = new Thread(() -> {
                try {
                    gatekeeper.run();
                } catch (IOException | InterruptedException | RuntimeException e) {
                    log.add("crashed: " + e);
                }
            });
            gatekeepers.add(this);
            thread.start();
            port = ((InetSocketAddress) gatekeeper.awaitListening()).getPort();
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            while (!sendAdminCommand("check").equals("+OK serving\n")) { // from then on others can meet it
                assertTrue("never served", System.nanoTime() < deadline);
            }
        }

        /** Waits for a line of the log; those in front of it are gone then. */
        void awaitLogLine(String part) throws InterruptedException {
            String line;
            do {
                line = log.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                assertNotNull("never said: " + part, line);
            } while (!line.contains(part));
        }

        String sendAdminCommand(String call) throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(gatekeeper.adminAddress(), TIMEOUT_MILLIS);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream().write((call + '\n').getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }
    }

    private GatekeeperConfig config() throws Exception {
        String text = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("127.0.0.1:0\"", "127.0.0.1:" + port + "\",\"operator\":\"127.0.0.1:0\"")
                .replace("${d}", "127.0.0.1:" + discovery.getLocalPort())
                .replace("${p1}", "127.0.0.1:" + provider.getLocalPort())
                .replace("$node", "127.0.0.1:9")
                .replace("$u1", "127.0.0.1:10");
        return GatekeeperConfig.read(text.getBytes(StandardCharsets.UTF_8), Map.of(), new MonotonicClock());
    }

    @Before
    public void open() throws IOException {
        handoverSocketPath = folder.getRoot().toPath().resolve("s");
        provider = new ServerSocket(0, 50, LOOPBACK);
        discovery = new ServerSocket(0, 50, LOOPBACK); // which never says a word
        Thread acceptThread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = provider.accept();
                    Thread connectionThread = new Thread(() -> serveProviderConnection(socket));
                    connectionThread.setDaemon(true);
                    connectionThread.start();
                }
            } catch (IOException e) {
                // the test is over
            }
        });
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    private static void serveProviderConnection(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException e) {
            // it was closed
        }
    }

    @After
    public void close() throws Exception {
        for (RunningGatekeeper process : gatekeepers) {
            process.gatekeeper.beginShutdown();
            process.thread.join(TIMEOUT_MILLIS);
            process.gatekeeper.close();
        }
        provider.close();
        discovery.close();
    }

    private static void send(Socket socket, int number, int units) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream()
                .write(("GET /check HTTP/1.1\r\nX-Trace-Id: " + String.format("%016x", number)
                                + "\r\nX-Plan: single-line\r\nX-Customer: 0000000000000007\r\nX-Expires-In-Ms: 3000\r\n"
                                + "X-Quota: units=" + units + ",spread=1,first=0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String readStatus(Socket socket) throws IOException {
        byte[] head = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
        return new String(head, StandardCharsets.US_ASCII).substring("HTTP/1.1 ".length());
    }

    private String request(int number, int units) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, port)) {
            send(socket, number, units);
            return readStatus(socket);
        }
    }

    private static String readUntilClosed(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    public void handoverTransfersCountsAndClosesKeptConnectionsAfterAResponse() throws Exception {
        RunningGatekeeper old = new RunningGatekeeper();
        assertEquals("+OK serving\n", old.sendAdminCommand("check"));
        assertEquals("200", request(1, 3)); // of the four units that the plan has
        try (Socket kept = new Socket(LOOPBACK, port)) {
            send(kept, 2, 1);
            assertEquals("200", readStatus(kept));
            RunningGatekeeper next = new RunningGatekeeper();
            assertEquals("+OK serving\n", next.sendAdminCommand("check"));
            old.awaitLogLine("another process serves in our place");
            old.gatekeeper.beginShutdown();
            send(kept, 3, 1); // one more on a connection that the old one still has
            String answer = readUntilClosed(kept);
            assertTrue(answer, answer.contains("HTTP/1.1 429"));
            assertTrue(answer, answer.contains("Connection: close"));
            old.thread.join(TIMEOUT_MILLIS);
            next.awaitLogLine("the former process has gone");
            assertEquals("429", request(4, 1));
            RunningGatekeeper third = new RunningGatekeeper(); // another upgrade right behind
            next.awaitLogLine("another process serves in our place");
            next.gatekeeper.beginShutdown();
            third.awaitLogLine("the former process has gone");
            assertEquals("429", request(5, 1));
        }
    }

    @Test
    public void processKeepsServingWhenItsSuccessorDisconnects() throws Exception {
        RunningGatekeeper old = new RunningGatekeeper();
        RecordingFrameHandler first = new RecordingFrameHandler();
        HandoverConnection early = HandoverConnection.connect(handoverSocketPath, first);
        early.send(new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, config().countingRules()));
        assertTrue(first.frames.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof HandoverFrame.HandoverHello);
        early.close();
        RecordingFrameHandler second = new RecordingFrameHandler();
        HandoverConnection taker = connectAndExchangeHello(second);
        taker.send(new HandoverFrame.SnapshotRequest());
        assertTrue(second.frames.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof HandoverFrame.ServiceSnapshot);
        taker.send(new HandoverFrame.SuccessorServing());
        old.awaitLogLine("another process serves in our place");
        taker.close();
        old.awaitLogLine("serving on");
        assertEquals("200", request(1, 4));
        RunningGatekeeper next = new RunningGatekeeper();
        old.awaitLogLine("told what was counted of 1 customers");
        old.gatekeeper.beginShutdown();
        next.awaitLogLine("the former process has gone");
        assertEquals("429", request(2, 1));
    }

    /** Connects until the old one has seen that its former partner is gone, and takes this one. */
    private HandoverConnection connectAndExchangeHello(RecordingFrameHandler handler) throws Exception {
        while (true) {
            HandoverConnection connection = HandoverConnection.connect(handoverSocketPath, handler);
            connection.send(
                    new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, config().countingRules()));
            if (handler.frames.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof HandoverFrame.HandoverHello) {
                return connection;
            }
        }
    }

    @Test
    public void malformedFramesAndOtherVersionsOnlyCloseTheConnection() throws Exception {
        RunningGatekeeper old = new RunningGatekeeper();
        sendAndExpectClose(new byte[] {0, 0, 0, 3, 1, 2, 3});
        sendAndExpectClose(new byte[] {-1, -1, -1, -1});
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        for (HandoverFrame other : List.of(
                new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION + 1, config().countingRules()),
                new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, "other plans"))) {
            old.log.clear();
            do { // it may still be seeing the one before off
                sendAndExpectClose(HandoverFrameCodec.encode(other));
                assertTrue("never told: " + other, System.nanoTime() < deadline);
            } while (old.log.stream().noneMatch(line -> line.contains("of another version")));
        }
        assertEquals("200", request(1, 1));
        assertEquals("+OK serving\n", old.sendAdminCommand("check"));
    }

    private void sendAndExpectClose(byte[] bytes) throws IOException {
        try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            channel.connect(UnixDomainSocketAddress.of(handoverSocketPath));
            channel.write(ByteBuffer.wrap(bytes));
            assertTrue("closed with nothing said", isClosed(channel));
        }
    }

    /** Whether the other side closes it without a word; with ours unread that is a reset. */
    private static boolean isClosed(SocketChannel channel) throws IOException {
        try {
            return channel.read(ByteBuffer.allocate(1)) < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    public void startsWithoutCountsBesideAnUnresponsiveProcess() throws Exception {
        try (ServerSocketChannel silent = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            silent.bind(UnixDomainSocketAddress.of(handoverSocketPath));
            RunningGatekeeper beside = new RunningGatekeeper();
            beside.awaitLogLine("the other process does not answer; starting from nothing");
            assertEquals("+OK serving\n", beside.sendAdminCommand("check"));
            assertEquals("200", request(1, 4));
        }
    }

    @Test
    public void staleSocketFilesAreIgnored() throws Exception {
        Files.writeString(handoverSocketPath, "not a socket");
        RunningGatekeeper first = new RunningGatekeeper();
        assertEquals("200", request(1, 4));
        first.gatekeeper.beginShutdown();
        first.thread.join(TIMEOUT_MILLIS);
        assertFalse("its file goes with it", Files.exists(handoverSocketPath));
        try (ServerSocketChannel dead = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            dead.bind(UnixDomainSocketAddress.of(handoverSocketPath));
        }
        new RunningGatekeeper();
        assertEquals("200", request(2, 4)); // nothing was counted before this life
    }

    /** What the other side says. */
    private static final class RecordingFrameHandler implements HandoverConnection.HandoverFrameHandler {
        final BlockingQueue<Object> frames = new LinkedBlockingQueue<>();

        @Override
        public void onFrame(HandoverConnection from, HandoverFrame frame) {
            frames.add(frame);
        }

        @Override
        public void onClosed(HandoverConnection link, String why) {
            frames.add(why);
        }
    }
}
