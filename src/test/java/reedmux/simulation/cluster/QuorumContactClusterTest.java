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

/** Tests partitioned and frozen machines in virtual time. Runs the production programs. */
public class QuorumContactClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final String EMPTY_CHANGE = "{\"apply\":{\"signals\":[]}}";
    private static final String NEWER_CHANGE = "{\"apply\":{\"signals\":[{\"signalKind\":\"plants\",\"heading\":"
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

    /** Sends a call and runs for two seconds; returns status and body, or "0" without a response. */
    private String call(InetSocketAddress address, byte[] call) {
        String[] response = {"0"};
        outside.reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        outside.reactor(),
                        address,
                        call,
                        3 * SECOND_MICROS,
                        (status, head, text) -> response[0] = status + " " + text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        simulation.runFor(2 * SECOND_MICROS);
        return response[0];
    }

    private int call(InetSocketAddress address, String path) {
        String response = call(
                address,
                OneShotHttpCall.request(
                        "GET",
                        path,
                        "h.example",
                        "",
                        "Reedmux-Attempt-Id: a" + simulation.now() + "\r\n",
                        "Reedmux-Time-Left-Ms: 1500\r\n",
                        "Authorization: Bearer key-0-first.\r\n"));
        return Integer.parseInt(response.split(" ")[0]);
    }

    private String callControl(int core, byte[] call) {
        return call(deployment.controlAddresses().get(core), call);
    }

    private static byte[] readRequest() {
        return OneShotHttpCall.request("GET", "/v1/Config.Read", "control", "");
    }

    private void setPartitioned(boolean partitioned) {
        List<Deployment.DeployedNode> cores = deployment.coreNodes();
        List<SimulatedMachine> majoritySide =
                List.of(cores.get(1).machine(), cores.get(2).machine());
        for (SimulatedMachine minorityMachine :
                List.of(cores.get(0).machine(), deployment.proxies().get(0).machine())) {
            for (SimulatedMachine majorityMachine : majoritySide) {
                if (partitioned) {
                    simulation.partition(minorityMachine, majorityMachine);
                    simulation.partition(majorityMachine, minorityMachine);
                } else {
                    simulation.heal(minorityMachine, majorityMachine);
                    simulation.heal(majorityMachine, minorityMachine);
                }
            }
        }
    }

    /** It serves from the state on its side, and answers 503 where the majority may have newer state. */
    @Test
    public void proxyStartedInMinorityIsNotReady() {
        InetSocketAddress ready =
                deployment.readinessAddress(deployment.proxies().get(0));
        InetSocketAddress front = deployment.frontAddress(deployment.proxies().get(0));
        assertEquals(call(ready, "/v1/readiness"), 200);
        setPartitioned(true);
        simulation.runFor(4 * SECOND_MICROS);
        assertEquals(call(ready, "/v1/readiness"), 200, "a ready proxy stays ready");
        deployment.proxies().get(0).kill(SECOND_MICROS / 2);
        simulation.runFor(10 * SECOND_MICROS);
        assertEquals(call(ready, "/v1/readiness"), 503);
        assertEquals(call(front, "/r0/x"), 200);
        assertEquals(call(front, "/nowhere/x"), 503);
        setPartitioned(false);
        simulation.runFor(4 * SECOND_MICROS);
        assertEquals(call(ready, "/v1/readiness"), 200);
        assertEquals(call(front, "/nowhere/x"), 404);
    }

    /** Holds from the start of a partition, before the links time out, until its end. */
    @Test
    public void isolatedStoreAnswersNeitherReadsNorChanges() {
        assertTrue(callControl(0, OneShotHttpCall.post("/v1/Config.Adjust", EMPTY_CHANGE))
                .startsWith("200"));
        setPartitioned(true);
        for (int i = 0; i < 5; i++) {
            assertTrue(callControl(1, OneShotHttpCall.post("/v1/Config.Adjust", NEWER_CHANGE))
                    .startsWith(i == 0 ? "" : "200"));
            for (byte[] call : List.of(
                    readRequest(),
                    OneShotHttpCall.post("/v1/Config.Adjust", EMPTY_CHANGE),
                    OneShotHttpCall.post("/v1/Config.Adjust", NEWER_CHANGE.replace("connCeiling", "x")))) {
                String response = callControl(0, call);
                assertTrue(response.startsWith("503"), response);
            }
        }
        setPartitioned(false);
        simulation.runFor(3 * SECOND_MICROS);
        assertTrue(callControl(0, readRequest()).contains("\"newer\""));
    }

    /** While the store was frozen, calls were queued for it, and so were messages that are 20 s old. */
    @Test
    public void thawedStoreDoesNotAnswerStaleReads() {
        for (long remainingFreezeMicros : new long[] {0, 50_000, SECOND_MICROS}) {
            start();
            deployment.coreNodes().get(0).freeze(20 * SECOND_MICROS);
            simulation.runFor(3 * SECOND_MICROS);
            assertTrue(callControl(1, OneShotHttpCall.post("/v1/Config.Adjust", NEWER_CHANGE))
                    .startsWith("200"));
            simulation.runFor(15 * SECOND_MICROS - remainingFreezeMicros);
            String response = callControl(0, readRequest());
            assertFalse(response.startsWith("200") && !response.contains("\"newer\""), response);
            simulation.runFor(3 * SECOND_MICROS);
            assertTrue(callControl(0, readRequest()).contains("\"newer\""));
        }
    }

    /**
     * Reproduces world --point 4 --cores 4 --seeds 80. A starting store compares digests in two steps; a change between
     * the steps may lie in a range that was equal in the first step.
     */
    @Test
    public void changesDuringDigestComparisonAreSentAfterIt() throws IOException {
        SimulatedProcess peer = new SimulatedProcess(
                simulation, new SimulatedMachine(simulation, "10.7.0.5", "hall-a", false), "peer", 0, line -> {});
        Messages.Hello hello =
                new Messages.Hello(Messages.FORMAT_VERSION, "store", "peer", "10.7.0.5", "hall-a", 1, List.of());
        Replica replica = new Replica();
        List<Integer> differingRanges = new ArrayList<>();
        boolean[] updateReceived = {false};
        RpcConnection.RpcConnectionHandler handler = new RpcConnection.RpcConnectionHandler() {
            @Override
            public void onConnected(RpcConnection link) {}

            @Override
            public void onMessage(RpcConnection link, Object message) {
                if (message instanceof Messages.SnapshotChunk chunk) {
                    replica.merge(chunk.items());
                    link.sendMessage(new Messages.SnapshotChunkRequest(chunk.incarnation(), chunk.upToChange()));
                } else if (message instanceof Messages.ConfigurationUpdate update) {
                    replica.merge(update.items());
                    updateReceived[0] = true;
                } else if (message instanceof Messages.DigestMismatch mismatch) {
                    differingRanges.addAll(mismatch.ranges());
                }
            }

            @Override
            public void onDisconnected(RpcConnection link) {}
        };
        InetSocketAddress store =
                SocketAddresses.parse(deployment.coreNodes().get(1).machine().ip() + ':' + Deployment.STORE_PORT);
        peer.submit(() -> {});
        RpcConnection link = RpcConnection.connect(peer.reactor(), new MessageCodec(), hello, store, handler);
        simulation.runFor(SECOND_MICROS / 2);
        peer.submit(() -> link.sendMessage(
                new Messages.DigestRequest(List.of(), replica.digests().digestsOf(List.of()))));
        simulation.runFor(SECOND_MICROS / 10);
        assertFalse(differingRanges.isEmpty());
        List<String> expectedKeys = new ArrayList<>();
        for (int i = 0; i < 8; i++) { // some of the eight names fall into ranges that were equal
            String name = "later" + i;
            expectedKeys.add("plants/" + name);
            assertTrue(callControl(1, OneShotHttpCall.post("/v1/Config.Adjust", NEWER_CHANGE.replace("newer", name)))
                    .startsWith("200"));
            peer.submit(() -> link.sendMessage(new Messages.KeepAlive()));
        }
        peer.submit(() -> link.sendMessage(
                new Messages.DigestRequest(differingRanges, replica.digests().digestsOf(differingRanges))));
        simulation.runFor(SECOND_MICROS);
        assertTrue(updateReceived[0]);
        List<String> receivedKeys = new ArrayList<>();
        replica.committed().forEach(item -> receivedKeys.add(item.key()));
        assertTrue(receivedKeys.containsAll(expectedKeys), expectedKeys + " expected, but received " + receivedKeys);
    }

    /**
     * The receiver of a link is frozen. If the freeze outlasts the sender's link timeout, the message sent meanwhile
     * is discarded and the link is closed; otherwise the message is delivered.
     */
    @Test
    public void messagesSentBeforeLinkTimeoutAreDiscarded() throws IOException {
        for (boolean outlivesTimeout : new boolean[] {false, true}) {
            SimulatedProcess sender = new SimulatedProcess(
                    simulation,
                    new SimulatedMachine(simulation, "10.7.0." + (outlivesTimeout ? 1 : 3), "hall-a", false),
                    "one",
                    0,
                    line -> {});
            SimulatedProcess receiver = new SimulatedProcess(
                    simulation,
                    new SimulatedMachine(simulation, "10.7.0." + (outlivesTimeout ? 2 : 4), "hall-a", false),
                    "two",
                    0,
                    line -> {});
            List<Object> events = new ArrayList<>();
            InetSocketAddress receiverAddress =
                    SocketAddresses.parse(receiver.machine().ip() + ":7000");
            Messages.Hello hello =
                    new Messages.Hello(Messages.FORMAT_VERSION, "store", "n", "10.7.0.9", "z", 1, List.of());
            RpcConnection[] links = new RpcConnection[2];
            RpcConnection.RpcConnectionHandler handler = new RpcConnection.RpcConnectionHandler() {
                @Override
                public void onConnected(RpcConnection link) {}

                @Override
                public void onMessage(RpcConnection link, Object message) {
                    events.add(message);
                }

                @Override
                public void onDisconnected(RpcConnection link) {
                    events.add("down");
                }
            };
            new TcpListener(
                    receiver.reactor(),
                    receiverAddress,
                    socket -> links[1] =
                            RpcConnection.accept(receiver.reactor(), new MessageCodec(), hello, socket, handler));
            sender.submit(() -> {});
            receiver.submit(() -> {});
            links[0] = RpcConnection.connect(sender.reactor(), new MessageCodec(), hello, receiverAddress, handler);
            simulation.runFor(SECOND_MICROS);
            assertNotEquals(links[1], null);
            receiver.freeze();
            links[0].sendMessage(new Messages.ConfigurationReadRequest(1));
            simulation.runFor(outlivesTimeout ? 20 * SECOND_MICROS : SECOND_MICROS);
            receiver.thaw();
            simulation.runFor(SECOND_MICROS / 10);
            assertEquals(events.contains(new Messages.ConfigurationReadRequest(1)), !outlivesTimeout);
            assertEquals(events.contains("down"), outlivesTimeout);
        }
    }
}
