package reedmux.control.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.compatibility.FixtureFiles;

/** Checks that this version reads the data folder of an earlier version, and writes the same bytes. */
public class StoreCompatibilityTest {
    private Path directory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("reedmux-store");
    }

    @AfterMethod
    public void deleteDirectory() throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    private StoreFixtures.TestStore startStore(String resources, String... files) throws IOException {
        FixtureFiles.copyResources(resources, directory, files);
        return new StoreFixtures.TestStore(directory, false);
    }

    @Test
    public void readsTheFirstGenerationAndItsRecords() throws IOException {
        assertContents(startStore("store", "items-1"), StoreFixtures.FIRST_GENERATION, List.of());
    }

    @Test
    public void readsTheSecondGenerationAndItsRecords() throws IOException {
        assertContents(startStore("store", "items-1", "items-2"), StoreFixtures.SECOND_GENERATION, List.of());
    }

    @Test
    public void readsTheSecondGenerationAlone() throws IOException {
        assertContents(startStore("store", "items-2"), StoreFixtures.SECOND_GENERATION, List.of());
    }

    @Test
    public void readsTheRecordsBeforeATornRecord() throws IOException {
        StoreFixtures.TestStore store = startStore("store-torn", "items-2");
        assertEquals(store.environment.logLines.size(), 1, store.environment.logLines.toString());
        String line = store.environment.logLines.get(0);
        assertTrue(line.contains("disk: items-2 at "), line);
        assertContents(store, StoreFixtures.TORN_SECOND_GENERATION, store.environment.logLines);
    }

    private static void assertContents(
            StoreFixtures.TestStore store, StoreFixtures.Contents expected, List<String> log) {
        StoreFixtures.Contents contents = store.contents();
        assertEquals(contents.core(), expected.core());
        assertEquals(contents.items(), expected.items());
        assertEquals(contents.watermarks(), expected.watermarks());
        assertEquals(contents.pending(), expected.pending());
        assertTrue(store.complete, "the recovered store must be complete");
        assertEquals(store.environment.logLines, log);
    }

    @Test
    public void writesTheBytesOfTheFixture() throws IOException {
        StoreFixtures.writeDataFolder(directory);
        for (String file : List.of("items-1", "items-2")) {
            assertEquals(Files.readAllBytes(directory.resolve(file)), FixtureFiles.readBytes("store/" + file), file);
        }
    }

    /** Stores of different versions compare digests to find missing items, so the digests must never change. */
    @Test
    public void digestsMatchTheFixture() throws IOException {
        Map<String, byte[]> digests = startStore("store", "items-2").digests();
        Map<String, byte[]> expected = FixtureFiles.readFrames("store-digests.txt");
        assertEquals(digests.keySet(), expected.keySet());
        digests.forEach((name, bytes) -> assertEquals(bytes, expected.get(name), name));
    }
}
