package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.attempt.Answer;
import reedmux.item.Bounds;
import reedmux.message.Head;
import reedmux.net.ScriptedSockets;

/** What a client's connection does with bounds, late answers and bodies that go wrong. */
public class ClientWireTest {
    private static final long SECOND = 1_000_000;

    private static final class Front implements ClientWire.Front {
        final ScriptedSockets sockets = new ScriptedSockets();
        final List<ClientRequest> launched = new ArrayList<>();
        final List<ClientRequest> left = new ArrayList<>();
        Bounds bounds = new Bounds(300, 8 << 20, 3 * SECOND, 15 * SECOND);
        int gone;

        ScriptedSockets.Conn conn;
        final ClientWire client;

        Front() throws IOException {
            client = new ClientWire(this, sockets.accepted());
            conn = sockets.opened.get(0);
        }

        /** Time passes, with a look each quarter of a second. */
        void pass(long micros) {
            for (long passed = 0; passed < micros && !conn.isClosed(); passed += SECOND / 4) {
                sockets.pass(SECOND / 4);
                client.look(now(), false);
            }
        }

        @Override
        public long now() {
            return sockets.now();
        }

        @Override
        public void soon(Runnable task) {
            sockets.execute(task);
        }

        @Override
        public Bounds bounds() {
            return bounds;
        }

        @Override
        public boolean leaving() {
            return false;
        }

        @Override
        public boolean park(ClientWire who, Head head) {
            return false;
        }

        @Override
        public Proxy.Reading read(ClientWire who, Head head, Upload upload) {
            String attempt = head.get("Reedmux-Attempt-Id");
            return new Proxy.Reading(new ClientRequest(who, head, attempt, null, upload), null);
        }

        @Override
        public void launch(ClientRequest request) {
            launched.add(request);
        }

        @Override
        public void left(ClientRequest request, boolean wasLaunched) {
            left.add(request);
        }

        @Override
        public void gone(ClientWire who) {
            gone++;
        }
    }

    private static String get(String attempt) {
        return "GET /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: " + attempt + "\r\n\r\n";
    }

    private static Answer own(int status) {
        return new Answer.Own(status, "told " + status, -1);
    }

    @Test
    public void anAnswerGoesToItsOwnRequestAlone() throws IOException {
        Front front = new Front();
        front.conn.give(get("one"));
        front.client.answer(front.launched.get(0), own(503));
        front.conn.give(get("two"));
        front.client.answer(front.launched.get(0), own(502)); // late, and not the second one's
        assertFalse(front.conn.text().contains("502"));
        front.client.answer(front.launched.get(1), own(504));
        assertTrue(front.conn.text().endsWith("told 504\n"), front.conn.text());
        assertTrue(front.conn.text().contains("Reedmux-Attempt-Id: two"));
    }

    /** A body that goes wrong after the answer: what was counted for the request is not given back again. */
    @Test
    public void aRequestThatWasAnsweredIsNotLeftAgain() throws IOException {
        for (boolean answered : new boolean[] {true, false}) {
            Front front = new Front();
            front.conn.give("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n90000\r\n" + "y".repeat(0x90000) + "\r\n");
            assertEquals(front.launched.size(), 1);
            Upload upload = front.launched.get(0).upload();
            for (int i = 0; upload.piece(i) != null; i++) {
                assertFalse(front.conn.isClosed()); // a checker takes it
            }
            if (answered) {
                front.client.answer(front.launched.get(0), own(503));
            }
            front.conn.give("no chunk\r\n");
            assertEquals(front.left.size(), answered ? 0 : 1);
        }
    }

    /** A connection may rest as long as its client was told, and for as long as holds now. */
    @Test
    public void whoRestsWithinWhatItWasToldIsNotClosed() throws IOException {
        for (long next : new long[] {5 * SECOND, 15 * SECOND, 40 * SECOND}) {
            Front front = new Front();
            front.conn.give(get("one"));
            front.client.answer(front.launched.get(0), own(404));
            front.bounds = new Bounds(300, 8 << 20, SECOND, next);
            front.pass(Math.max(12 * SECOND, next / 5 * 4));
            assertFalse(front.conn.isClosed(), "rests, " + next);
            front.conn.give(get("two"));
            assertEquals(front.launched.size(), 2);
            front.client.answer(front.launched.get(1), own(404));
            front.pass(next / 5 * 4);
            assertFalse(front.conn.isClosed());
            front.pass(next / 5 * 2);
            assertTrue(front.conn.isClosed());
        }
    }

    /** A head of just the bound, however its bytes come, and one byte more. */
    @Test
    public void aHeadOfTheBoundIsTakenByteByByte() throws IOException {
        for (int beyond = 0; beyond < 2; beyond++) {
            Front front = new Front();
            String head = get("one").replace("\r\n\r\n", "\r\nPad: \r\n\r\n");
            head = head.replace("Pad: ", "Pad: " + "p".repeat(300 + 4 + beyond - head.length()));
            for (int i = 0; i < head.length() && !front.conn.isClosed(); i++) {
                front.conn.give(head.substring(i, i + 1));
            }
            assertEquals(front.launched.size(), 1 - beyond);
            assertEquals(front.conn.text().startsWith("HTTP/1.1 431"), beyond == 1);
        }
    }

    @Test
    public void aHeadThatTakesTooLongIsToldSoAndOneInTimeIsNot() throws IOException {
        Front front = new Front();
        front.conn.give("GET /x HT");
        front.pass(5 * SECOND / 2);
        assertEquals(front.conn.text(), "");
        front.pass(SECOND);
        assertTrue(front.conn.text().startsWith("HTTP/1.1 408"));
    }

    /** It is we who hold up a body that no checker takes: its client is not late by that. */
    @Test
    public void aBodyThatWeHeldUpIsNotLate() throws IOException {
        Front front = new Front();
        front.conn.give("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n" + "Content-Length: 1000000\r\n\r\n"
                + "y".repeat(600_000));
        front.pass(20 * SECOND);
        Upload upload = front.launched.get(0).upload();
        for (int i = 0; upload.piece(i) != null; i++) {
            assertFalse(front.conn.isClosed());
        }
        front.client.look(front.now(), false);
        assertFalse(front.conn.isClosed());
        front.conn.give("y".repeat(400_000));
        assertTrue(upload.whole());
    }
}
