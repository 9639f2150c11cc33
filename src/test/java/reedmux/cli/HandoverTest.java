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
import reedmux.gatekeeper.handover.HandoverCoordinator;
import reedmux.gatekeeper.handover.HandoverFrame;
import reedmux.gatekeeper.handover.HandoverFrameCodec;

/** Tests the handover between two processes of a gatekeeper on real sockets, including its failure cases. */
public final class HandoverTest {
    /** Only keeps a failing test from blocking forever; no assertion depends on its value. */
    private static final int TIMEOUT_MILLIS = 10_000;

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private final List<RunningGatekeeper> gatekeepers = new ArrayList<>();
    private ServerSocket provider;
    private ServerSocket discovery;
    private Path handoverSocketPath;
    private int port;
    /** How long a process waits for a reply; processes that do reply may take as long as a busy host needs. */
    private long replyMillis = TIMEOUT_MILLIS;

    /** A gatekeeper process that runs on its own thread, with its log lines. */
    private final class RunningGatekeeper {
        final BlockingQueue<String> log = new LinkedBlockingQueue<>();
        final GatekeeperProcess gatekeeper;
        final Thread thread;

        RunningGatekeeper() throws Exception {
            gatekeeper = new GatekeeperProcess(
                    LoadedConfiguration.platformOnly(config()),
                    new MonotonicClock(),
                    log::add,
                    handoverSocketPath,
                    replyMillis);
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
            while (!sendAdminCommand("check")
                    .equals("+OK serving\n")) { // from then on another process can connect to it
                assertTrue("the gatekeeper did not begin to serve", System.nanoTime() < deadline);
            }
        }

        /** Waits for a log line that contains {@code part}; discards it and the lines before it. */
        void awaitLogLine(String part) throws InterruptedException {
            String line;
            do {
                line = log.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                assertNotNull("not logged: " + part + "; logged by the others: " + logs(), line);
            } while (!line.contains(part));
        }

        String sendAdminCommand(String command) throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(gatekeeper.adminAddress(), TIMEOUT_MILLIS);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream().write((command + '\n').getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }
    }

    private List<String> logs() {
        return gatekeepers.stream()
                .flatMap(gatekeeper -> gatekeeper.log.stream())
                .toList();
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
        discovery = new ServerSocket(0, 50, LOOPBACK); // never responds
        Thread acceptThread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = provider.accept();
                    Thread connectionThread = new Thread(() -> serveProviderConnection(socket));
                    connectionThread.setDaemon(true);
                    connectionThread.start();
                }
            } catch (IOException e) {
                // the test has closed the server socket
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
            // the gatekeeper has closed the connection
        }
    }

    @After
    public void close() throws Exception {
        for (RunningGatekeeper running : gatekeepers) {
            running.gatekeeper.beginShutdown();
            running.thread.join(TIMEOUT_MILLIS);
            running.gatekeeper.close();
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
        byte[] statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
        return new String(statusLine, StandardCharsets.US_ASCII).substring("HTTP/1.1 ".length());
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
        assertEquals("200", request(1, 3)); // the plan's quota is 4 units
        try (Socket kept = new Socket(LOOPBACK, port)) {
            send(kept, 2, 1);
            assertEquals("200", readStatus(kept));
            RunningGatekeeper next = new RunningGatekeeper();
            assertEquals("+OK serving\n", next.sendAdminCommand("check"));
            old.awaitLogLine("another process serves in our place");
            old.gatekeeper.beginShutdown();
            send(kept, 3, 1); // another request on a connection that the old process still has open
            String response = readUntilClosed(kept);
            assertTrue(response, response.contains("HTTP/1.1 429"));
            assertTrue(response, response.contains("Connection: close"));
            old.thread.join(TIMEOUT_MILLIS);
            next.awaitLogLine("the former process has gone");
            assertEquals("429", request(4, 1));
            RunningGatekeeper third = new RunningGatekeeper(); // a second upgrade immediately after the first
            next.awaitLogLine("another process serves in our place");
            next.gatekeeper.beginShutdown();
            third.awaitLogLine("the former process has gone");
            assertEquals("429", request(5, 1));
        }
    }

    @Test
    public void processKeepsServingWhenItsSuccessorDisconnects() throws Exception {
        RunningGatekeeper old = new RunningGatekeeper();
        RecordingFrameHandler firstHandler = new RecordingFrameHandler();
        HandoverConnection firstConnection = HandoverConnection.connect(handoverSocketPath, firstHandler);
        firstConnection.send(
                new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, config().countingRules()));
        assertTrue(
                firstHandler.frames.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof HandoverFrame.HandoverHello);
        firstConnection.close();
        RecordingFrameHandler secondHandler = new RecordingFrameHandler();
        HandoverConnection successor = connectAndExchangeHello(secondHandler);
        successor.send(new HandoverFrame.SnapshotRequest());
        assertTrue(
                secondHandler.frames.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        instanceof HandoverFrame.ServiceSnapshot);
        successor.send(new HandoverFrame.SuccessorServing());
        old.awaitLogLine("another process serves in our place");
        successor.close();
        old.awaitLogLine("serving on");
        assertEquals("200", request(1, 4));
        RunningGatekeeper next = new RunningGatekeeper();
        old.awaitLogLine("told what was counted of 1 customers");
        old.gatekeeper.beginShutdown();
        next.awaitLogLine("the former process has gone");
        assertEquals("429", request(2, 1));
    }

    /** Connects repeatedly until the old process has noticed the end of the last connection and accepts this one. */
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
        for (HandoverFrame hello : List.of(
                new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION + 1, config().countingRules()),
                new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, "other plans"))) {
            old.log.clear();
            do { // the old process may still be closing the previous connection
                sendAndExpectClose(HandoverFrameCodec.encode(hello));
                assertTrue("no version mismatch was logged for " + hello, System.nanoTime() < deadline);
            } while (old.log.stream().noneMatch(line -> line.contains("of another version")));
        }
        assertEquals("200", request(1, 1));
        assertEquals("+OK serving\n", old.sendAdminCommand("check"));
    }

    private void sendAndExpectClose(byte[] bytes) throws IOException {
        try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            channel.connect(UnixDomainSocketAddress.of(handoverSocketPath));
            channel.write(ByteBuffer.wrap(bytes));
            assertTrue("expected the connection to be closed without a response", isClosed(channel));
        }
    }

    /** Returns whether the other side closes the connection without sending anything; unread data makes it a reset. */
    private static boolean isClosed(SocketChannel channel) throws IOException {
        try {
            return channel.read(ByteBuffer.allocate(1)) < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    public void startsWithoutCountsBesideAnUnresponsiveProcess() throws Exception {
        replyMillis = HandoverCoordinator.REPLY_TIMEOUT_MILLIS;
        try (ServerSocketChannel unresponsive = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            unresponsive.bind(UnixDomainSocketAddress.of(handoverSocketPath));
            RunningGatekeeper gatekeeper = new RunningGatekeeper();
            gatekeeper.awaitLogLine("the other process does not answer; starting from nothing");
            assertEquals("+OK serving\n", gatekeeper.sendAdminCommand("check"));
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
        assertFalse("the socket file was not deleted at the shutdown", Files.exists(handoverSocketPath));
        try (ServerSocketChannel stale = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            stale.bind(UnixDomainSocketAddress.of(handoverSocketPath));
        }
        new RunningGatekeeper();
        assertEquals("200", request(2, 4)); // no counts from the earlier process
    }

    /** Records the frames that the other process sends and the reason why the connection ended. */
    private static final class RecordingFrameHandler implements HandoverConnection.HandoverFrameHandler {
        final BlockingQueue<Object> frames = new LinkedBlockingQueue<>();

        @Override
        public void onFrame(HandoverConnection connection, HandoverFrame frame) {
            frames.add(frame);
        }

        @Override
        public void onClosed(HandoverConnection connection, String reason) {
            frames.add(reason);
        }
    }
}
