package reedmux.compatibility;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import reedmux.control.registry.RegistryFixtures;
import reedmux.control.rpc.RpcFixtures;
import reedmux.control.store.StoreFixtures;
import reedmux.gatekeeper.handover.HandoverFixtures;
import reedmux.gatekeeper.policy.PeerPacketFixtures;

/**
 * Generates the compatibility fixtures with the code that is checked out. It is not part of the build. The resources in
 * the repository were generated once, by the version whose data and frames every later version must read, and are never
 * regenerated for an existing format. A new format gets additional resources. To run the generator:
 *
 * <pre>mvn package -DskipTests
 * java -cp target/test-classes:target/reedmux.jar reedmux.compatibility.FixtureGenerator \
 *     src/test/resources/compatibility</pre>
 */
public final class FixtureGenerator {
    /** Number of bytes removed from the end of the newest file, to simulate a torn write. */
    private static final int TRUNCATED_BYTES = 5;

    private FixtureGenerator() {}

    /**
     * Generates the fixtures.
     *
     * @param args the target folder as the only argument; it must not contain the data folders yet
     */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        FixtureFiles.writeFrames(root.resolve("rpc-frames.txt"), RpcFixtures.encodedFrames());
        FixtureFiles.writeFrames(root.resolve("rpc-frames-read-only.txt"), RpcFixtures.encodedReadOnlyMessages());
        FixtureFiles.writeFrames(root.resolve("peer-packets.txt"), PeerPacketFixtures.encoded());
        FixtureFiles.writeFrames(root.resolve("handover-frames.txt"), HandoverFixtures.encoded());
        Path store = Files.createDirectory(root.resolve("store"));
        FixtureFiles.writeFrames(root.resolve("store-digests.txt"), StoreFixtures.writeDataFolder(store));
        byte[] newestFile = Files.readAllBytes(store.resolve("items-2"));
        Path torn = Files.createDirectory(root.resolve("store-torn"));
        Files.write(torn.resolve("items-2"), Arrays.copyOf(newestFile, newestFile.length - TRUNCATED_BYTES));
        RegistryFixtures.writeDataFolder(Files.createDirectory(root.resolve("registry")));
    }
}
