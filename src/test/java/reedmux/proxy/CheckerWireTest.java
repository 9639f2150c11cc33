package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.attempt.Answer;
import reedmux.attempt.Event;
import reedmux.attempt.Exchange;
import reedmux.attempt.Requests;
import reedmux.attempt.Try;
import reedmux.budget.RetryBudget;
import reedmux.choice.Roster;
import reedmux.fleet.Incarnation;
import reedmux.item.Orders;
import reedmux.item.Route;
import reedmux.message.Head;
import reedmux.net.ScriptedSockets;

/**
 * Requests, their tries and the connections to checkers together, with all orders of what checkers may do
 * to them. The checkers are as bad as the protocol lets them be: what has reached one in part may have run.
 */
public class CheckerWireTest {
    private static final long MILLI = 1000;
    private static final int STEPS = 4;
    private static final String ID = "Reedmux-Attempt-Id: ";

    /** The world round them: two checkers, whose sides of the connections are the test's. */
    private static final class World implements Requests.Effects {
        final ScriptedSockets sockets = new ScriptedSockets();
        final Roster roster = new Roster("me", "here", 1);
        final Requests requests = new Requests(this, roster, new RetryBudget(1, 100, false), 1);
        final CheckerPool pool = new CheckerPool(sockets.reactor(), requests);
        final Map<String, Answer> answers = new HashMap<>();
        final List<String> neverRan = new ArrayList<>();
        /** What each connection's other side has made of what came: requests taken, and answered so far. */
        final Map<ScriptedSockets.Conn, Integer> answered = new HashMap<>();
        /** Of each request, how many checkers may have run it, and which answers would be its own. */
        final Map<String, Integer> ran = new HashMap<>();
        /** Answers that come a second time, with the next one on their connection. */
        final Map<ScriptedSockets.Conn, String> extra = new HashMap<>();

        World(int checkers) {
            for (int i = 0; i < checkers; i++) {
                roster.told(
                        new Incarnation(
                                "c" + i,
                                "desk",
                                "10.0.0." + (i + 1) + ":80",
                                "here",
                                3,
                                Incarnation.READY,
                                1,
                                0,
                                false),
                        sockets.now());
            }
        }

        void take(String attempt, boolean repeatable, String body) {
            Route route = new Route(
                    "r",
                    "h",
                    "/",
                    repeatable,
                    500 * MILLI,
                    100 * MILLI,
                    1,
                    List.of(new Route.Part("desk", 1)),
                    2,
                    true);
            Upload upload = body == null ? null : new Upload(body.length());
            if (upload != null) {
                upload.take(body.getBytes(StandardCharsets.ISO_8859_1));
                upload.end();
            }
            ClientRequest request = new ClientRequest(
                    null,
                    Head.request(body == null ? "GET" : "POST", "/x").add("Reedmux-Attempt-Id", attempt),
                    attempt,
                    null,
                    upload);
            request.exchange(new Exchange(route, null, request, sockets.now(), sockets.now() + 400 * MILLI));
            requests.on(sockets.now(), new Event.Taken(request.exchange()));
            sockets.turn();
        }

        @Override
        public void send(Try what) {
            pool.send(what, (ClientRequest) what.exchange().source());
        }

        @Override
        public void giveUp(Try what) {
            pool.giveUp(what);
        }

        @Override
        public void answer(Exchange exchange, Answer answer) {
            String attempt = ((ClientRequest) exchange.source()).attempt();
            assertFalse(answers.containsKey(attempt), "answered twice");
            answers.put(attempt, answer);
        }

        @Override
        public void neverRan(Exchange exchange) {
            neverRan.add(((ClientRequest) exchange.source()).attempt());
        }

        @Override
        public void later(long at, Event event) {
            sockets.reactor().at(at, () -> requests.on(sockets.now(), event));
        }

        /** The ids of the requests that have come over a connection. */
        List<String> asked(ScriptedSockets.Conn conn) {
            List<String> all = new ArrayList<>();
            String text = conn.text();
            for (int at = text.indexOf(ID); at >= 0; at = text.indexOf(ID, at + 1)) {
                all.add(text.substring(at + ID.length(), text.indexOf('\r', at)));
            }
            return all;
        }

        /** The connections on which a checker owes an answer, or that are not up yet. */
        List<ScriptedSockets.Conn> open() {
            List<ScriptedSockets.Conn> all = new ArrayList<>();
            for (ScriptedSockets.Conn conn : sockets.opened) {
                int owed = asked(conn).size() - answered.getOrDefault(conn, 0);
                assertTrue(owed <= 1, "one request at a time");
                if (!conn.isClosed() && (owed == 1 || !conn.isUp())) {
                    all.add(conn);
                }
            }
            return all;
        }

        static String good(String attempt) {
            String body = "body of " + attempt;
            return "HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attempt + "\r\nReedmux-Server-Seal: s\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** One step of the world. */
        void step(Orders orders) {
            List<ScriptedSockets.Conn> open = open();
            int which = orders.pick(open.size() + 1);
            if (which == open.size()) {
                sockets.pass(60 * MILLI);
                return;
            }
            ScriptedSockets.Conn conn = open.get(which);
            if (!conn.isUp()) {
                if (orders.pick(2) == 0) {
                    conn.accept();
                } else {
                    conn.reset();
                }
                return;
            }
            List<String> all = asked(conn);
            String attempt = all.get(all.size() - 1);
            String late = extra.getOrDefault(conn, "");
            extra.remove(conn);
            answered.merge(conn, 1, Integer::sum);
            boolean runs = true;
            switch (orders.pick(12)) {
                case 0 -> conn.give(late + good(attempt));
                case 1 -> { // and once more, later
                    extra.put(conn, good(attempt));
                    conn.give(late + good(attempt));
                }
                case 2 -> conn.give(late + good(attempt) + good(attempt)); // and once more, at once
                case 3 -> {
                    runs = false;
                    conn.give(late + "HTTP/1.1 503 Busy\r\nReedmux-Not-Executed: 1\r\n" + "Content-Length: 0\r\n\r\n");
                }
                case 4 -> {
                    runs = false; // the address is another's
                    conn.give(late + "HTTP/1.1 421 Other\r\nReedmux-Instance-Id: other\r\n"
                            + "Content-Length: 0\r\n\r\n");
                }
                case 5 ->
                    conn.give(late + "HTTP/1.1 429 Many\r\nReedmux-Attempt-Id: " + attempt
                            + "\r\nContent-Length: 0\r\n\r\n"); // without the mark: it may have run
                case 6 -> conn.give(late + good("another")); // and nothing of ours
                case 7 -> conn.give(late + good(attempt).replace("Reedmux-Attempt-Id", "X-None"));
                case 8 -> {
                    conn.give(late + good(attempt).replaceAll("body of .*", "body"));
                    conn.reset();
                }
                case 10 -> { // a failure of its own without id, and once more, later
                    String failure = "HTTP/1.1 500 Bad\r\nX-For: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
                    extra.put(conn, failure);
                    conn.give(late + failure);
                }
                case 9 -> conn.give(late + "what is this\r\n\r\n");
                default -> conn.reset();
            }
            if (runs) {
                ran.merge(attempt, 1, Integer::sum);
            }
        }

        /** What no order may lead to. */
        void check(String attempt, boolean repeatable) {
            for (ScriptedSockets.Conn conn : sockets.opened) { // what no checker has ended may have run, too
                List<String> all = asked(conn);
                if (all.size() > answered.getOrDefault(conn, 0)
                        && all.get(all.size() - 1).equals(attempt)) {
                    ran.merge(attempt, 1, Integer::sum);
                }
            }
            int times = ran.getOrDefault(attempt, 0);
            assertTrue(repeatable || times <= 1, "TWICE: " + times);
            Answer answer = answers.get(attempt);
            assertTrue(answer != null, "no answer");
            int status = answer instanceof Answer.Own own
                    ? own.status()
                    : ((Answer.OfChecker) answer).head().status();
            assertFalse(
                    times > 0 && (status == 503 || status == 429 || status == 408 || status == 421),
                    "REFUSED: " + status);
            assertFalse(times > 0 && neverRan.contains(attempt), "given back");
            if (answer instanceof Answer.OfChecker told && status == 500) {
                assertEquals(told.head().get("X-For"), attempt, "MIXED");
            }
            if (answer instanceof Answer.OfChecker told && status == 200) {
                assertEquals(new String(told.body(), StandardCharsets.ISO_8859_1), "body of " + attempt, "MIXED");
                assertEquals(told.head().get("Reedmux-Attempt-Id"), attempt, "MIXED");
            }
        }
    }

    /**
     * Two requests, the second one taken at any step: silence, a reset before, in and behind a head, late and
     * second answers, noise, other owners of the address, no id; with a further try, a second copy under way,
     * and a connection that goes from one request to the next. With five steps: 173,483 orders.
     */
    @Test
    public void noOrderMixesRunsTwiceOrBreaksAPromise() {
        int plays = 0;
        for (int kinds = 0; kinds < 4; kinds++) {
            boolean first = kinds % 2 == 0;
            boolean second = kinds / 2 == 0;
            plays += Orders.all(1_000_000, orders -> {
                World world = new World(2);
                world.take("one", first, null);
                world.sockets.opened.get(0).accept();
                int next = orders.pick(STEPS);
                for (int i = 0; i < STEPS; i++) {
                    if (i == next) {
                        world.take("two", second, "text");
                    }
                    world.step(orders);
                }
                world.sockets.pass(900 * MILLI);
                world.check("one", first);
                world.check("two", second);
            });
        }
        assertTrue(plays > 25_000, plays + " orders");
    }

    /** A send that ends after each of its bytes, by a reset or by silence. */
    @Test
    public void oneByteThatWentOutMayHaveRun() {
        World whole = new World(2);
        whole.take("one", false, "0123456789");
        whole.sockets.opened.get(0).accept();
        int total = whole.sockets.opened.get(0).text().length();
        assertTrue(total > 100, total + " bytes");
        for (int sent = 0; sent <= total; sent++) {
            for (boolean silent : new boolean[] {true, false}) {
                World world = new World(2);
                world.sockets.room = sent;
                world.take("one", false, "0123456789");
                world.sockets.room = Long.MAX_VALUE;
                ScriptedSockets.Conn conn = world.sockets.opened.get(0);
                conn.accept();
                assertEquals(conn.text().length(), sent);
                if (!silent) {
                    conn.reset();
                    assertEquals(world.sockets.opened.size(), sent == 0 ? 2 : 1, sent + " bytes");
                }
                world.sockets.pass(900 * MILLI);
                Answer answer = world.answers.get("one");
                assertEquals(((Answer.Own) answer).status(), silent ? 504 : sent == 0 ? 503 : 502, sent + " bytes");
                assertEquals(world.neverRan.size(), !silent && sent == 0 ? 1 : 0);
            }
        }
    }
}
