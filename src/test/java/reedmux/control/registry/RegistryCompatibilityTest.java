package reedmux.control.registry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.compatibility.FixtureFiles;
import reedmux.control.instances.InstanceIncarnation;

/** This version must read the files that an earlier version of the registry wrote, and write the same bytes. */
public class RegistryCompatibilityTest {
    private static final String FOLDER = "registry";

    @Test
    public void readsEachGenerationOfTheFixture() throws IOException {
        assertReads(RegistryFixtures.FIRST_GENERATION, "items-1");
        assertReads(RegistryFixtures.SECOND_GENERATION, "items-1", "items-2");
        assertReads(RegistryFixtures.SECOND_GENERATION, "items-2");
    }

    private static void assertReads(List<InstanceIncarnation> expected, String... files) throws IOException {
        Path folder = Files.createTempDirectory("reedmux-registry");
        FixtureFiles.copyResources(FOLDER, folder, files);
        RegistryFixtures.StorageFixture storage = new RegistryFixtures.StorageFixture(folder);
        assertEquals(storage.environment.logLines, List.of());
        assertEquals(List.copyOf(storage.directory.all(0)), expected);
        for (String file : files) {
            Files.delete(folder.resolve(file));
        }
        Files.delete(folder);
    }

    @Test
    public void writesTheBytesOfTheFixture() throws IOException {
        Path folder = Files.createTempDirectory("reedmux-registry");
        RegistryFixtures.writeDataFolder(folder);
        for (String file : List.of("items-1", "items-2")) {
            assertEquals(Files.readAllBytes(folder.resolve(file)), FixtureFiles.readBytes(FOLDER + '/' + file), file);
            Files.delete(folder.resolve(file));
        }
        Files.delete(folder);
    }
}
