package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.net.SocketAddresses;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.RpcConnection;
import reedmux.simulation.harness.OneShotHttpCall;

/** Tests core machines that lose their disks while the configuration is unchanged. Runs the production programs. */
public class DiskLossClusterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int SEEDS = 3;
    private static final String CHANGE = "{\"apply\":{\"signals\":[{\"signalKind\":\"plants\",\"heading\":"
            + "{\"name\":\"newer\",\"revision\":99},"
            + "\"reference\":{\"probe\":\"/health\",\"connCeiling\":9}}]}}";

    /** Indices of the core machines that lose their disk first and second, and of the one that is finally replaced. */
    @DataProvider
    public Object[][] failureOrders() {
        return new Object[][] {{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
    }

    /** Each machine has time to count toward the majority again, so that the core never lacks more than one machine. */
    @Test(dataProvider = "failureOrders")
    public void coreAcceptsChangesAfterAllDisksWereLost(int first, int second, int replaced) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            ServingDeployment serving = new ServingDeployment(seed, line -> {});
            List<Deployment.DeployedNode> cores = serving.deployment().coreNodes();
            for (int coreIndex : new int[] {first, second}) {
                cores.get(coreIndex).losePower(SECOND_MICROS, true);
                serving.simulation().runFor(8 * SECOND_MICROS);
            }
            cores.get(replaced).kill(SECOND_MICROS); // the other machines observe that its connections close
            serving.simulation().runFor(SECOND_MICROS / 10);
            cores.get(replaced).replace("10.1.7.10", "core-new", false, SECOND_MICROS / 2 * seed);
            serving.simulation().runFor(12 * SECOND_MICROS);
            for (InetSocketAddress control : serving.deployment().controlAddresses()) {
                assertEquals(applyChange(serving, control), 200, "seed " + seed + " at " + control);
            }
            assertTrue(
                    serving.invariants().violations().isEmpty(),
                    serving.invariants().violations().toString());
        }
    }

    /** Pulls changes from a store and records the completeness that the store reports. */
    private static final class PullingPeer implements RpcConnection.RpcConnectionHandler {
        private final List<Boolean> completeFlags = new ArrayList<>();

        @Override
        public void onConnected(RpcConnection connection) {
            connection.sendMessage(new Messages.ChangesRequest(0, -1));
        }

        @Override
        public void onMessage(RpcConnection connection, Object message) {
            if (message instanceof Messages.SnapshotChunk chunk) {
                connection.sendMessage(new Messages.SnapshotChunkRequest(chunk.incarnation(), chunk.upToChange()));
            } else if (message instanceof Messages.ConfigurationUpdate update) {
                completeFlags.add(update.complete());
                connection.sendMessage(new Messages.ChangesRequest(update.incarnation(), update.upToChange()));
            }
        }

        @Override
        public void onDisconnected(RpcConnection connection) {}
    }

    /** A peer pulls from a store that lost its disk before the store is complete, and no change follows. */
    @Test
    public void storeNotifiesPullingPeersWhenItBecomesComplete() throws IOException {
        ServingDeployment serving = new ServingDeployment(1, line -> {});
        ClusterSimulation simulation = serving.simulation();
        List<Deployment.DeployedNode> cores = serving.deployment().coreNodes();
        SimulatedMachine lost = cores.get(0).machine();
        SimulatedMachine cutOff = cores.get(1).machine();
        simulation.partition(lost, cutOff);
        simulation.partition(cutOff, lost);
        cores.get(0).losePower(SECOND_MICROS, true);
        simulation.runFor(3 * SECOND_MICROS);
        SimulatedProcess process = new SimulatedProcess(
                simulation, new SimulatedMachine(simulation, "10.7.0.5", "hall-a", false), "peer", 0, line -> {});
        Messages.Hello hello =
                new Messages.Hello(Messages.FORMAT_VERSION, "store", "peer", "10.7.0.5", "hall-a", 1, List.of());
        PullingPeer peer = new PullingPeer();
        process.submit(() -> {});
        RpcConnection connection = RpcConnection.connect(
                process.reactor(),
                new MessageCodec(),
                hello,
                SocketAddresses.parse(lost.ip() + ':' + Deployment.STORE_PORT),
                peer);
        keepAlive(process, connection);
        simulation.runFor(SECOND_MICROS);
        assertEquals(peer.completeFlags, List.of(false));
        simulation.heal(lost, cutOff);
        simulation.heal(cutOff, lost);
        simulation.runFor(12 * SECOND_MICROS);
        assertEquals(peer.completeFlags, List.of(false, true));
    }

    private static void keepAlive(SimulatedProcess process, RpcConnection connection) {
        process.reactor().scheduleEvery(SECOND_MICROS / 2, () -> connection.sendMessage(new Messages.KeepAlive()));
    }

    private static int applyChange(ServingDeployment serving, InetSocketAddress control) {
        int[] result = {0};
        serving.outside().reactor().execute(() -> {
            try {
                new OneShotHttpCall(
                        serving.outside().reactor(),
                        control,
                        OneShotHttpCall.post("/v1/Config.Adjust", CHANGE),
                        3 * SECOND_MICROS,
                        (status, head, text) -> result[0] = status);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        serving.simulation().runFor(4 * SECOND_MICROS);
        return result[0];
    }
}
