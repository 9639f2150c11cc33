package reedmux.lab.world;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.config.Addresses;
import reedmux.item.Replica;
import reedmux.lab.stage.Asker;
import reedmux.link.Codec;
import reedmux.link.Link;
import reedmux.link.Messages;
import reedmux.net.Listener;

/** Who is cut off or was frozen, with the programs as they are, in virtual time. */
public class ContactWorldTest {
    private static final long SECOND = 1_000_000;
    private static final String EMPTY = "{\"apply\":{\"signals\":[]}}";
    private static final String NEWER = "{\"apply\":{\"signals\":[{\"signalKind\":\"plants\",\"heading\":"
            + "{\"name\":\"newer\",\"revision\":99},"
            + "\"reference\":{\"probe\":\"/health\",\"connCeiling\":9}}]}}";
    private World world;
    private Deployment deployment;
    private Host outside;

    @BeforeMethod
    public void start() {
        world = new World(6);
        deployment = new Deployment(world, 2, 3, line -> {});
        deployment.start();
        outside = new Host(world, new Machine(world, "10.9.0.1", "hall-a", false), "outside", 0, line -> {});
        InvariantChecker watch = new InvariantChecker();
        for (int i = 0; i < 4; i++) {
            new CheckerActor(
                    world,
                    new Machine(world, "10.3.0." + (i + 1), "hall-a", false),
                    "i-" + i,
                    Settings.SERVICES[i % 2],
                    deployment.control(),
                    watch,
                    () -> {},
                    ip -> {});
        }
        new Operator(world, "10.8.0.1", deployment.control(), watch)
                .adjust(
                        new Settings(new Random(1)).first(),
                        InvariantChecker.Proper.VALID,
                        Settings::shows,
                        status -> {});
        world.run(5 * SECOND);
    }

    /** Asks somebody and lets two seconds pass; what is not answered is 0. */
    private String ask(InetSocketAddress at, byte[] call) {
        String[] told = {"0"};
        outside.reactor().execute(() -> {
            try {
                new Asker(
                        outside.reactor(), at, call, 3 * SECOND, (status, head, text) -> told[0] = status + " " + text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        world.run(2 * SECOND);
        return told[0];
    }

    private int ask(InetSocketAddress at, String path) {
        String told = ask(
                at,
                Asker.request(
                        "GET",
                        path,
                        "h.example",
                        "",
                        "Reedmux-Attempt-Id: a" + world.now() + "\r\n",
                        "Reedmux-Time-Left-Ms: 1500\r\n",
                        "Authorization: Bearer key-0-first.\r\n"));
        return Integer.parseInt(told.split(" ")[0]);
    }

    private String control(int core, byte[] call) {
        return ask(deployment.control().get(core), call);
    }

    private static byte[] read() {
        return Asker.request("GET", "/v1/Config.Read", "control", "");
    }

    private void cut(boolean both) {
        List<Deployment.Node> cores = deployment.cores();
        List<Machine> far = List.of(cores.get(1).machine(), cores.get(2).machine());
        for (Machine near :
                List.of(cores.get(0).machine(), deployment.edges().get(0).machine())) {
            for (Machine other : far) {
                if (both) {
                    world.cut(near, other);
                    world.cut(other, near);
                } else {
                    world.join(near, other);
                    world.join(other, near);
                }
            }
        }
    }

    /** It serves on with what its side has, and says 503 where the others may know better. */
    @Test
    public void aProxyThatIsStartedOnTheSideOfTheMinorityIsNotReady() {
        InetSocketAddress ready = deployment.ready(deployment.edges().get(0));
        InetSocketAddress front = deployment.front(deployment.edges().get(0));
        assertEquals(ask(ready, "/v1/readiness"), 200);
        cut(true);
        world.run(4 * SECOND);
        assertEquals(ask(ready, "/v1/readiness"), 200, "who was ready stays so");
        deployment.edges().get(0).kill(SECOND / 2);
        world.run(10 * SECOND);
        assertEquals(ask(ready, "/v1/readiness"), 503);
        assertEquals(ask(front, "/r0/x"), 200);
        assertEquals(ask(front, "/nowhere/x"), 503);
        cut(false);
        world.run(4 * SECOND);
        assertEquals(ask(ready, "/v1/readiness"), 200);
        assertEquals(ask(front, "/nowhere/x"), 404);
    }

    /** From the first moment of a cut, when its links still stand, until its end. */
    @Test
    public void aStoreThatIsCutOffNeitherReadsNorConfirmsNorRefuses() {
        assertTrue(control(0, Asker.post("/v1/Config.Adjust", EMPTY)).startsWith("200"));
        cut(true);
        for (int i = 0; i < 5; i++) {
            assertTrue(control(1, Asker.post("/v1/Config.Adjust", NEWER)).startsWith(i == 0 ? "" : "200"));
            for (byte[] call : List.of(
                    read(),
                    Asker.post("/v1/Config.Adjust", EMPTY),
                    Asker.post("/v1/Config.Adjust", NEWER.replace("connCeiling", "x")))) {
                String told = control(0, call);
                assertTrue(told.startsWith("503"), told);
            }
        }
        cut(false);
        world.run(3 * SECOND);
        assertTrue(control(0, read()).contains("\"newer\""));
    }

    /** Its calls have waited for it, and so have messages of 20 s ago. */
    @Test
    public void aStoreThatWakesDoesNotAnswerFromWhatItHeld() {
        for (long early : new long[] {0, 50_000, SECOND}) {
            start();
            deployment.cores().get(0).freeze(20 * SECOND);
            world.run(3 * SECOND);
            assertTrue(control(1, Asker.post("/v1/Config.Adjust", NEWER)).startsWith("200"));
            world.run(15 * SECOND - early);
            String told = control(0, read());
            assertFalse(told.startsWith("200") && !told.contains("\"newer\""), told);
            world.run(3 * SECOND);
            assertTrue(control(0, read()).contains("\"newer\""));
        }
    }

    /**
     * As in world --point 4 --cores 4 --seeds 80: a store that starts compares digests in two steps, and what
     * changes between them lies in a range that was alike in the first.
     */
    @Test
    public void whatChangesWhileDigestsAreComparedIsToldBehindThem() throws IOException {
        Host peer = new Host(world, new Machine(world, "10.7.0.5", "hall-a", false), "peer", 0, line -> {});
        Messages.Hello hello = new Messages.Hello(Messages.FORM, "store", "peer", "10.7.0.5", "hall-a", 1, List.of());
        Replica known = new Replica();
        List<Integer> differ = new ArrayList<>();
        boolean[] over = {false};
        Link.Owner owner = new Link.Owner() {
            @Override
            public void up(Link link) {}

            @Override
            public void told(Link link, Object message) {
                if (message instanceof Messages.Piece piece) {
                    known.merge(piece.items());
                    link.say(new Messages.Resume(piece.life(), piece.upTo()));
                } else if (message instanceof Messages.Items items) {
                    known.merge(items.items());
                    over[0] = true;
                } else if (message instanceof Messages.Differ told) {
                    differ.addAll(told.ranges());
                }
            }

            @Override
            public void down(Link link) {}
        };
        InetSocketAddress store =
                Addresses.parse(deployment.cores().get(1).machine().ip() + ':' + Deployment.STORE);
        peer.enter(() -> {});
        Link link = Link.open(peer.reactor(), new Codec(), hello, store, owner);
        world.run(SECOND / 2);
        peer.enter(
                () -> link.say(new Messages.Compare(List.of(), known.digests().of(List.of()))));
        world.run(SECOND / 10);
        assertFalse(differ.isEmpty());
        List<String> later = new ArrayList<>();
        for (int i = 0; i < 8; i++) { // of eight names some are in ranges that were alike
            String name = "later" + i;
            later.add("plants/" + name);
            assertTrue(control(1, Asker.post("/v1/Config.Adjust", NEWER.replace("newer", name)))
                    .startsWith("200"));
            peer.enter(() -> link.say(new Messages.Ping()));
        }
        peer.enter(() -> link.say(new Messages.Compare(differ, known.digests().of(differ))));
        world.run(SECOND);
        assertTrue(over[0]);
        List<String> has = new ArrayList<>();
        known.inForce().forEach(item -> has.add(item.key()));
        assertTrue(has.containsAll(later), later + " and " + has);
    }

    /** Both sides of a link, one of which was frozen for longer than the other waits. */
    @Test
    public void whatWasSaidInAnotherTimeIsNotRead() throws IOException {
        for (boolean wakes : new boolean[] {false, true}) {
            Host one = new Host(
                    world, new Machine(world, "10.7.0." + (wakes ? 1 : 3), "hall-a", false), "one", 0, line -> {});
            Host two = new Host(
                    world, new Machine(world, "10.7.0." + (wakes ? 2 : 4), "hall-a", false), "two", 0, line -> {});
            List<Object> heard = new ArrayList<>();
            InetSocketAddress at = Addresses.parse(two.machine().ip() + ":7000");
            Messages.Hello hello = new Messages.Hello(Messages.FORM, "store", "n", "10.7.0.9", "z", 1, List.of());
            Link[] links = new Link[2];
            Link.Owner owner = new Link.Owner() {
                @Override
                public void up(Link link) {}

                @Override
                public void told(Link link, Object message) {
                    heard.add(message);
                }

                @Override
                public void down(Link link) {
                    heard.add("down");
                }
            };
            new Listener(two.reactor(), at, wire -> links[1] = Link.of(two.reactor(), new Codec(), hello, wire, owner));
            one.enter(() -> {});
            two.enter(() -> {});
            links[0] = Link.open(one.reactor(), new Codec(), hello, at, owner);
            world.run(SECOND);
            assertNotEquals(links[1], null);
            two.freeze();
            links[0].say(new Messages.Read(1));
            world.run(wakes ? 20 * SECOND : SECOND);
            two.thaw();
            world.run(SECOND / 10);
            assertEquals(heard.contains(new Messages.Read(1)), !wakes);
            assertEquals(heard.contains("down"), wakes);
        }
    }
}
