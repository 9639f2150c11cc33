package reedmux.operator;

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

/** The admin server over a real socket: its answers, and callers that are slow or talk nonsense. */
public final class DoorTest {
    /** No verdict hangs on it: it only ends a test that would otherwise wait for ever. */
    private static final int HANGS = 10_000;

    private final List<String> log = new ArrayList<>();
    private final LifeCycle life = new LifeCycle();
    private final Figures figures = new Figures();
    private Door door;

    @Before
    public void open() throws IOException {
        life.ready(1);
        figures.service("").ofClass("check");
        OperatorCalls calls = new OperatorCalls(life, figures, life::takesClients, () -> 2, log::add);
        InetAddress here = InetAddress.getByName("127.0.0.1");
        door = new Door(new InetSocketAddress(here, 0), calls::answer, log::add);
    }

    @After
    public void close() throws IOException {
        door.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(HANGS);
        socket.connect(door.address());
        return socket;
    }

    private static String rest(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String ask(String line) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
            return rest(socket);
        }
    }

    @Test
    public void answersEachCallAndEndsTheConnection() throws IOException {
        assertEquals("+OK serving\n", ask("check\n"));
        assertEquals("+OK serving\n", ask("check\r\n"));
        assertEquals("+OK draining\n", ask("drain-on\n"));
        assertEquals("-ERR draining\n", ask("check\n"));
        assertEquals("+OK draining\n", ask("drain-on\n"));
        assertEquals("+OK serving\n", ask("drain-off\n"));
        assertEquals("+OK serving\n", ask("drain-off\n"));
        assertEquals("+OK serving\n", ask("check\n"));
        assertTrue(ask("vars\n").startsWith("+OK\nsvc.success.check:0|c\nsvc.busy.check:0|c\n"));
        assertTrue(ask("vars\n").endsWith("\nsvc.hosts_down:0|g\n.\n"));
        life.leave(3);
        assertEquals("-ERR leaving\n", ask("drain-off\n"));
        assertEquals("-ERR leaving\n", ask("check\n"));
    }

    @Test
    public void whatIsNoCallGetsAReason() throws IOException {
        assertEquals("-ERR no call\n", ask("\n"));
        assertTrue(ask("CHECK\n").startsWith("-ERR unknown call"));
        assertTrue(ask("check now\n").startsWith("-ERR unknown call"));
        assertTrue(ask("\0\u00ff\u0080\n").startsWith("-ERR unknown call"));
        assertEquals("-ERR the line is over 128 bytes\n", ask("x".repeat(128)));
        assertEquals("+OK serving\n", ask("check\ndrain-on\n")); // one line a connection
        assertEquals(LifeCycle.Phase.SERVING, life.phase());
    }

    @Test
    public void aLineWithoutEndIsToldAndAnEmptyConnectionIsClosed() throws IOException {
        try (Socket half = connect();
                Socket nothing = connect()) {
            half.getOutputStream().write("drain-on".getBytes(StandardCharsets.US_ASCII));
            half.shutdownOutput();
            assertEquals("-ERR the line has no end\n", rest(half));
            nothing.shutdownOutput();
            assertEquals("", rest(nothing));
        }
        assertEquals(LifeCycle.Phase.SERVING, life.phase());
    }

    @Test
    public void piecesMakeOneLine() throws IOException {
        try (Socket slow = connect()) {
            for (String piece : List.of("c", "h", "e", "c", "k", "\n")) {
                slow.getOutputStream().write(piece.getBytes(StandardCharsets.US_ASCII));
                assertEquals("+OK serving\n", ask("check\n")); // meanwhile others are answered
            }
            assertEquals("+OK serving\n", rest(slow));
        }
    }

    @Test
    public void silentCallersHoldNobodyUpAndTheOldestGivesWay() throws IOException {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < Door.MOST + 5; i++) {
            silent.add(connect());
        }
        assertEquals("+OK serving\n", ask("check\n"));
        assertEquals("", rest(silent.get(0))); // closed with nothing said
        Socket last = silent.get(silent.size() - 1);
        last.getOutputStream().write("check\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals("+OK serving\n", rest(last));
        for (Socket socket : silent) {
            socket.close();
        }
    }
}
