package reedmux.gatekeeper.admin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Tests the admin server over real sockets: its replies, slow clients and malformed commands. */
public final class AdminServerTest {
    /** Ends a test that would otherwise block forever. No assertion depends on its value. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final List<String> log = new ArrayList<>();
    private final LifeCycle lifeCycle = new LifeCycle();
    private final Metrics metrics = new Metrics();
    private AdminServer server;

    @Before
    public void startServer() throws IOException {
        lifeCycle.onReady(1);
        metrics.forService("").forClass("check");
        AdminCommands commands = new AdminCommands(lifeCycle, metrics, lifeCycle::acceptsClients, () -> 2, log::add);
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        server = new AdminServer(new InetSocketAddress(loopback, 0), commands::execute, log::add);
    }

    @After
    public void stopServer() throws IOException {
        server.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(server.address());
        return socket;
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String send(String line) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
            return readToEnd(socket);
        }
    }

    @Test
    public void answersACommandAndClosesTheConnection() throws IOException {
        assertEquals("+OK serving\n", send("check\n"));
        assertEquals("+OK serving\n", send("check\r\n"));
        assertEquals("+OK draining\n", send("drain-on\n"));
        assertEquals("-ERR draining\n", send("check\n"));
        assertEquals("+OK draining\n", send("drain-on\n"));
        assertEquals("+OK serving\n", send("drain-off\n"));
        assertEquals("+OK serving\n", send("drain-off\n"));
        assertEquals("+OK serving\n", send("check\n"));
        assertTrue(send("vars\n").startsWith("+OK\nsvc.success.check:0|c\nsvc.busy.check:0|c\n"));
        assertTrue(send("vars\n").endsWith("\nsvc.hosts_down:0|g\n.\n"));
        lifeCycle.startShutdown(3);
        assertEquals("-ERR leaving\n", send("drain-off\n"));
        assertEquals("-ERR leaving\n", send("check\n"));
    }

    @Test
    public void unknownCommandGetsAnError() throws IOException {
        assertEquals("-ERR no call\n", send("\n"));
        assertTrue(send("CHECK\n").startsWith("-ERR unknown call"));
        assertTrue(send("check now\n").startsWith("-ERR unknown call"));
        assertTrue(send("\0\u00ff\u0080\n").startsWith("-ERR unknown call"));
        assertEquals("-ERR the line is over 128 bytes\n", send("x".repeat(128)));
        assertEquals("+OK serving\n", send("check\ndrain-on\n")); // only the first line of a connection is executed
        assertEquals(LifeCycle.LifeCyclePhase.SERVING, lifeCycle.phase());
    }

    @Test
    public void unterminatedLineGetsAnErrorAndEmptyConnectionIsClosed() throws IOException {
        try (Socket unterminated = connect();
                Socket empty = connect()) {
            unterminated.getOutputStream().write("drain-on".getBytes(StandardCharsets.US_ASCII));
            unterminated.shutdownOutput();
            assertEquals("-ERR the line has no end\n", readToEnd(unterminated));
            empty.shutdownOutput();
            assertEquals("", readToEnd(empty));
        }
        assertEquals(LifeCycle.LifeCyclePhase.SERVING, lifeCycle.phase());
    }

    @Test
    public void fragmentsAreJoinedIntoOneLine() throws IOException {
        try (Socket slow = connect()) {
            for (String piece : List.of("c", "h", "e", "c", "k", "\n")) {
                slow.getOutputStream().write(piece.getBytes(StandardCharsets.US_ASCII));
                assertEquals("+OK serving\n", send("check\n")); // other clients are served meanwhile
            }
            assertEquals("+OK serving\n", readToEnd(slow));
        }
    }

    @Test
    public void oldestSilentConnectionIsEvicted() throws IOException {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < AdminServer.MAX_CONNECTIONS + 5; i++) {
            silent.add(connect());
        }
        assertEquals("+OK serving\n", send("check\n"));
        assertEquals("", readToEnd(silent.get(0))); // closed without a reply
        Socket last = silent.get(silent.size() - 1);
        last.getOutputStream().write("check\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals("+OK serving\n", readToEnd(last));
        for (Socket socket : silent) {
            socket.close();
        }
    }
}
