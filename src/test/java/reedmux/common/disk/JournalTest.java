package reedmux.common.disk;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Recovery of a {@link Journal} after its last writes were lost, truncated or corrupted. */
public class JournalTest {
    private Path directory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("reedmux-journal");
    }

    @AfterMethod
    public void deleteDirectory() throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            paths.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    private static byte[] record(int number) {
        byte[] bytes = new byte[5 + number];
        Arrays.fill(bytes, (byte) (number + 1));
        return bytes;
    }

    @Test
    public void emptyDirectoryHasNoFiles() throws IOException {
        Journal journal = new Journal(new FileSystemVolume(directory));
        assertTrue(journal.recover().isEmpty());
        assertFalse(journal.foundFiles());
    }

    /**
     * Truncates the file at, or corrupts, each byte after the last sync. Recovery returns all records before that
     * position and the intact ones after it, but never a record that was not written, and reports the position of the
     * damage.
     */
    @Test
    public void syncedRecordsSurviveTruncationOrCorruptionBehindThem() throws IOException {
        try (Journal journal = new Journal(new FileSystemVolume(directory))) {
            journal.recover();
            journal.startGeneration(List.of(record(0), record(1)));
            long synced = journal.lengthBytes();
            journal.append(record(2));
            journal.append(record(3));
            journal.sync();
            Path file = directory.resolve("items-1");
            byte[] fullImage = Files.readAllBytes(file);
            for (int end = (int) synced; end < fullImage.length; end++) {
                for (boolean truncate : new boolean[] {true, false}) {
                    byte[] image = truncate ? Arrays.copyOf(fullImage, end) : fullImage.clone();
                    if (!truncate) {
                        image[end] ^= 0x55;
                    }
                    Files.write(file, image);
                    Journal reopened = new Journal(new FileSystemVolume(directory));
                    List<byte[]> recovered = reopened.recover();
                    boolean thirdRecordIntact = end >= synced + 8 + record(2).length;
                    assertTrue(recovered.size() >= (thirdRecordIntact ? 3 : 2) && recovered.size() < 4, "at " + end);
                    for (int i = 0; i < 2; i++) {
                        assertEquals(recovered.get(i), record(i));
                    }
                    if (recovered.size() == 3) {
                        boolean thirdRecordSkipped = !truncate && !thirdRecordIntact;
                        assertEquals(recovered.get(2), record(thirdRecordSkipped ? 3 : 2), "at " + end);
                    }
                    assertFalse(reopened.mayHaveLostRecords());
                    boolean atRecordBoundary =
                            truncate && (end == synced || thirdRecordIntact && end == synced + 8 + record(2).length);
                    assertEquals(
                            reopened.problems().size(), atRecordBoundary ? 0 : 1, "at " + end + reopened.problems());
                    assertTrue(atRecordBoundary || reopened.problems().get(0).startsWith("items-1 at "));
                }
            }
        }
    }

    /** If the state of the newest generation is incomplete, recovery uses the previous generation. */
    @Test
    public void previousGenerationIsReadUntilTheNextIsComplete() throws IOException {
        try (Journal journal = new Journal(new FileSystemVolume(directory))) {
            journal.recover();
            journal.startGeneration(List.of(record(0)));
            journal.startGeneration(List.of(record(0), record(1)));
            Files.write(
                    directory.resolve("items-3"), Arrays.copyOf(Files.readAllBytes(directory.resolve("items-2")), 9));
            Files.write(directory.resolve("fresh"), new byte[] {1, 2, 3});
            Journal reopened = new Journal(new FileSystemVolume(directory));
            assertEquals(reopened.recover().size(), 2);
            reopened.startGeneration(List.of(record(2)));
            reopened.close();
            assertEquals(new Journal(new FileSystemVolume(directory)).recover().get(0), record(2));
        }
    }

    /**
     * If the directory sync fails after the rename, a restart may find the new generation. Records that were then
     * appended to the previous generation would not be read, so appends must fail.
     */
    @Test
    public void nothingIsAppendedAfterAFailedGeneration() throws IOException {
        boolean[] syncFails = {false};
        Volume volume = new Volume() {
            private final Volume delegate = new FileSystemVolume(directory);

            @Override
            public List<String> fileNames() throws IOException {
                return delegate.fileNames();
            }

            @Override
            public byte[] read(String name) throws IOException {
                return delegate.read(name);
            }

            @Override
            public WritableFile create(String name) throws IOException {
                return delegate.create(name);
            }

            @Override
            public void rename(String from, String to) throws IOException {
                delegate.rename(from, to);
            }

            @Override
            public void syncDirectory() throws IOException {
                if (syncFails[0]) {
                    throw new IOException("No space left on device");
                }
                delegate.syncDirectory();
            }

            @Override
            public void delete(String name) throws IOException {
                delegate.delete(name);
            }
        };
        Journal journal = new Journal(volume);
        journal.recover();
        journal.startGeneration(List.of(record(0)));
        syncFails[0] = true;
        try {
            journal.startGeneration(List.of(record(0)));
            fail("startGeneration succeeded although the directory sync failed");
        } catch (IOException e) {
            assertTrue(journal.isBroken());
        }
        try {
            journal.append(record(1));
            fail("append succeeded on a broken journal");
        } catch (IOException e) {
            assertTrue(journal.isBroken());
        }
        syncFails[0] = false;
        journal.startGeneration(List.of(record(0), record(1)));
        journal.append(record(2));
        journal.sync();
        journal.close();
        assertEquals(new Journal(new FileSystemVolume(directory)).recover().size(), 3);
    }
}
