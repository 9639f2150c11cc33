package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.net.SocketAddresses;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.RpcConnection;
import reedmux.simulation.harness.OneShotHttpCall;

/** Who is cut off or was frozen, with the programs as they are, in virtual time. */
public class QuorumContactClusterTest {
    private static final long SECOND = 1_000_000;
    private static final String EMPTY = "{\"apply\":{\"signals\":[]}}";
    private static final String NEWER = "{\"apply\":{\"signals\":[{\"signalKind\":\"plants\",\"heading\":"
            + "{\"name\":\"newer\",\"revision\":99},"
            + "\"reference\":{\"probe\":\"/health\",\"connCeiling\":9}}]}}";
    private ClusterSimulation simulation;
    private Deployment deployment;
    private SimulatedProcess outside;

    @BeforeMethod
    public void start() {
        ServingDeployment serving = new ServingDeployment(6, line -> {});
        simulation = serving.simulation();
        deployment = serving.deployment();
        outside = serving.outside();
    }

    /** Asks somebody and lets two seconds pass; what is not answered is 0. */
    private String ask(InetSocketAddress at, byte[] call) {
        String[] told = {"0"};
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(), at, call, 3 * SECOND, (status, head, text) -> told[0] = status + " " + text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        simulation.runFor(2 * SECOND);
        return told[0];
    }

    private int ask(InetSocketAddress at, String path) {
        String told = ask(
                at,
                OneShotHttpCall.request(
                        "GET",
                        path,
                        "h.example",
                        "",
                        "Reedmux-Attempt-Id: a" + simulation.now() + "\r\n",
                        "Reedmux-Time-Left-Ms: 1500\r\n",
                        "Authorization: Bearer key-0-first.\r\n"));
        return Integer.parseInt(told.split(" ")[0]);
    }

    private String control(int core, byte[] call) {
        return ask(deployment.controlAddresses().get(core), call);
    }

    private static byte[] read() {
        return OneShotHttpCall.request("GET", "/v1/Config.Read", "control", "");
    }

    private void cut(boolean both) {
        List<Deployment.DeployedNode> cores = deployment.coreNodes();
        List<SimulatedMachine> far =
                List.of(cores.get(1).machine(), cores.get(2).machine());
        for (SimulatedMachine near :
                List.of(cores.get(0).machine(), deployment.proxies().get(0).machine())) {
            for (SimulatedMachine other : far) {
                if (both) {
                    simulation.partition(near, other);
                    simulation.partition(other, near);
                } else {
                    simulation.heal(near, other);
                    simulation.heal(other, near);
                }
            }
        }
    }

    /** It serves on with what its side has, and says 503 where the others may know better. */
    @Test
    public void aProxyThatIsStartedOnTheSideOfTheMinorityIsNotReady() {
        InetSocketAddress ready =
                deployment.readinessAddress(deployment.proxies().get(0));
        InetSocketAddress front = deployment.frontAddress(deployment.proxies().get(0));
        assertEquals(ask(ready, "/v1/readiness"), 200);
        cut(true);
        simulation.runFor(4 * SECOND);
        assertEquals(ask(ready, "/v1/readiness"), 200, "who was ready stays so");
        deployment.proxies().get(0).kill(SECOND / 2);
        simulation.runFor(10 * SECOND);
        assertEquals(ask(ready, "/v1/readiness"), 503);
        assertEquals(ask(front, "/r0/x"), 200);
        assertEquals(ask(front, "/nowhere/x"), 503);
        cut(false);
        simulation.runFor(4 * SECOND);
        assertEquals(ask(ready, "/v1/readiness"), 200);
        assertEquals(ask(front, "/nowhere/x"), 404);
    }

    /** From the first moment of a cut, when its links still stand, until its end. */
    @Test
    public void aStoreThatIsCutOffNeitherReadsNorConfirmsNorRefuses() {
        assertTrue(control(0, OneShotHttpCall.post("/v1/Config.Adjust", EMPTY)).startsWith("200"));
        cut(true);
        for (int i = 0; i < 5; i++) {
            assertTrue(
                    control(1, OneShotHttpCall.post("/v1/Config.Adjust", NEWER)).startsWith(i == 0 ? "" : "200"));
            for (byte[] call : List.of(
                    read(),
                    OneShotHttpCall.post("/v1/Config.Adjust", EMPTY),
                    OneShotHttpCall.post("/v1/Config.Adjust", NEWER.replace("connCeiling", "x")))) {
                String told = control(0, call);
                assertTrue(told.startsWith("503"), told);
            }
        }
        cut(false);
        simulation.runFor(3 * SECOND);
        assertTrue(control(0, read()).contains("\"newer\""));
    }

    /** Its calls have waited for it, and so have messages of 20 s ago. */
    @Test
    public void aStoreThatWakesDoesNotAnswerFromWhatItHeld() {
        for (long early : new long[] {0, 50_000, SECOND}) {
            start();
            deployment.coreNodes().get(0).freeze(20 * SECOND);
            simulation.runFor(3 * SECOND);
            assertTrue(
                    control(1, OneShotHttpCall.post("/v1/Config.Adjust", NEWER)).startsWith("200"));
            simulation.runFor(15 * SECOND - early);
            String told = control(0, read());
            assertFalse(told.startsWith("200") && !told.contains("\"newer\""), told);
            simulation.runFor(3 * SECOND);
            assertTrue(control(0, read()).contains("\"newer\""));
        }
    }

    /**
     * As in world --point 4 --cores 4 --seeds 80: a store that starts compares digests in two steps, and what
     * changes between them lies in a range that was alike in the first.
     */
    @Test
    public void whatChangesWhileDigestsAreComparedIsToldBehindThem() throws IOException {
        SimulatedProcess peer = new SimulatedProcess(
                simulation, new SimulatedMachine(simulation, "10.7.0.5", "hall-a", false), "peer", 0, line -> {});
        Messages.Hello hello =
                new Messages.Hello(Messages.FORMAT_VERSION, "store", "peer", "10.7.0.5", "hall-a", 1, List.of());
        Replica known = new Replica();
        List<Integer> differ = new ArrayList<>();
        boolean[] over = {false};
        RpcConnection.RpcConnectionHandler owner = new RpcConnection.RpcConnectionHandler() {
            @Override
            public void onConnected(RpcConnection link) {}

            @Override
            public void onMessage(RpcConnection link, Object message) {
                if (message instanceof Messages.SnapshotChunk piece) {
                    known.merge(piece.items());
                    link.sendMessage(new Messages.SnapshotChunkRequest(piece.incarnation(), piece.upToChange()));
                } else if (message instanceof Messages.ConfigurationUpdate items) {
                    known.merge(items.items());
                    over[0] = true;
                } else if (message instanceof Messages.DigestMismatch told) {
                    differ.addAll(told.ranges());
                }
            }

            @Override
            public void onDisconnected(RpcConnection link) {}
        };
        InetSocketAddress store =
                SocketAddresses.parse(deployment.coreNodes().get(1).machine().ip() + ':' + Deployment.STORE_PORT);
        peer.submit(() -> {});
        RpcConnection link = RpcConnection.connect(peer.reactor(), new MessageCodec(), hello, store, owner);
        simulation.runFor(SECOND / 2);
        peer.submit(() -> link.sendMessage(
                new Messages.DigestRequest(List.of(), known.digests().digestsOf(List.of()))));
        simulation.runFor(SECOND / 10);
        assertFalse(differ.isEmpty());
        List<String> later = new ArrayList<>();
        for (int i = 0; i < 8; i++) { // of eight names some are in ranges that were alike
            String name = "later" + i;
            later.add("plants/" + name);
            assertTrue(control(1, OneShotHttpCall.post("/v1/Config.Adjust", NEWER.replace("newer", name)))
                    .startsWith("200"));
            peer.submit(() -> link.sendMessage(new Messages.KeepAlive()));
        }
        peer.submit(() -> link.sendMessage(
                new Messages.DigestRequest(differ, known.digests().digestsOf(differ))));
        simulation.runFor(SECOND);
        assertTrue(over[0]);
        List<String> has = new ArrayList<>();
        known.committed().forEach(item -> has.add(item.key()));
        assertTrue(has.containsAll(later), later + " and " + has);
    }

    /** Both sides of a link, one of which was frozen for longer than the other waits. */
    @Test
    public void whatWasSaidInAnotherTimeIsNotRead() throws IOException {
        for (boolean wakes : new boolean[] {false, true}) {
            SimulatedProcess one = new SimulatedProcess(
                    simulation,
                    new SimulatedMachine(simulation, "10.7.0." + (wakes ? 1 : 3), "hall-a", false),
                    "one",
                    0,
                    line -> {});
            SimulatedProcess two = new SimulatedProcess(
                    simulation,
                    new SimulatedMachine(simulation, "10.7.0." + (wakes ? 2 : 4), "hall-a", false),
                    "two",
                    0,
                    line -> {});
            List<Object> heard = new ArrayList<>();
            InetSocketAddress at = SocketAddresses.parse(two.machine().ip() + ":7000");
            Messages.Hello hello =
                    new Messages.Hello(Messages.FORMAT_VERSION, "store", "n", "10.7.0.9", "z", 1, List.of());
            RpcConnection[] links = new RpcConnection[2];
            RpcConnection.RpcConnectionHandler owner = new RpcConnection.RpcConnectionHandler() {
                @Override
                public void onConnected(RpcConnection link) {}

                @Override
                public void onMessage(RpcConnection link, Object message) {
                    heard.add(message);
                }

                @Override
                public void onDisconnected(RpcConnection link) {
                    heard.add("down");
                }
            };
            new TcpListener(
                    two.reactor(),
                    at,
                    wire -> links[1] = RpcConnection.accept(two.reactor(), new MessageCodec(), hello, wire, owner));
            one.submit(() -> {});
            two.submit(() -> {});
            links[0] = RpcConnection.connect(one.reactor(), new MessageCodec(), hello, at, owner);
            simulation.runFor(SECOND);
            assertNotEquals(links[1], null);
            two.freeze();
            links[0].sendMessage(new Messages.ConfigurationReadRequest(1));
            simulation.runFor(wakes ? 20 * SECOND : SECOND);
            two.thaw();
            simulation.runFor(SECOND / 10);
            assertEquals(heard.contains(new Messages.ConfigurationReadRequest(1)), !wakes);
            assertEquals(heard.contains("down"), wakes);
        }
    }
}
