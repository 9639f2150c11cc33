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
 * Writes the compatibility fixtures with the code that is checked out. No part of the build: the resources in
 * the repository were written once, by the version whose data and frames every later one must read, and are
 * never written again for a form that exists. A new form gets new resources beside them. To run it:
 *
 * <pre>mvn package -DskipTests
 * java -cp target/test-classes:target/reedmux.jar reedmux.compatibility.FixtureGenerator \
 *     src/test/resources/compatibility</pre>
 */
public final class FixtureGenerator {
    private static final int TRUNCATED_BYTES = 5;

    private FixtureGenerator() {}

    /** Takes the folder to write to as its only argument; it must not have the data folders yet. */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        FixtureFiles.writeFrames(root.resolve("rpc-frames.txt"), RpcFixtures.encodedFrames());
        FixtureFiles.writeFrames(root.resolve("rpc-frames-read-only.txt"), RpcFixtures.encodedReadOnlyMessages());
        FixtureFiles.writeFrames(root.resolve("peer-packets.txt"), PeerPacketFixtures.encoded());
        FixtureFiles.writeFrames(root.resolve("handover-frames.txt"), HandoverFixtures.encoded());
        Path store = Files.createDirectory(root.resolve("store"));
        FixtureFiles.writeFrames(root.resolve("store-digests.txt"), StoreFixtures.writeDataFolder(store));
        byte[] newest = Files.readAllBytes(store.resolve("items-2"));
        Path torn = Files.createDirectory(root.resolve("store-torn"));
        Files.write(torn.resolve("items-2"), Arrays.copyOf(newest, newest.length - TRUNCATED_BYTES));
        RegistryFixtures.writeDataFolder(Files.createDirectory(root.resolve("registry")));
    }
}
