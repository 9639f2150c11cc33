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

/** What a journal recovers after its last writes were lost, cut or torn. */
public class JournalTest {
    private Path dir;

    @BeforeMethod
    public void createDirectory() throws IOException {
        dir = Files.createTempDirectory("reedmux-journal");
    }

    @AfterMethod
    public void deleteDirectory() throws IOException {
        try (Stream<Path> all = Files.walk(dir)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    private static byte[] record(int number) {
        byte[] bytes = new byte[5 + number];
        Arrays.fill(bytes, (byte) (number + 1));
        return bytes;
    }

    @Test
    public void emptyDirectoryHasNoFiles() throws IOException {
        Journal journal = new Journal(new FileSystemVolume(dir));
        assertTrue(journal.recover().isEmpty());
        assertFalse(journal.foundFiles());
    }

    /**
     * The file ends at every byte behind the last sync, or has a wrong one there: all records before that are
     * recovered, and intact ones behind it, but nothing that was never written; and the problems say where something is
     * wrong.
     */
    @Test
    public void syncedRecordsSurviveTruncationOrCorruptionBehindThem() throws IOException {
        try (Journal journal = new Journal(new FileSystemVolume(dir))) {
            journal.recover();
            journal.startGeneration(List.of(record(0), record(1)));
            long synced = journal.lengthBytes();
            journal.append(record(2));
            journal.append(record(3));
            journal.sync();
            Path file = dir.resolve("items-1");
            byte[] whole = Files.readAllBytes(file);
            for (int end = (int) synced; end < whole.length; end++) {
                for (boolean cut : new boolean[] {true, false}) {
                    byte[] image = cut ? Arrays.copyOf(whole, end) : whole.clone();
                    if (!cut) {
                        image[end] ^= 0x55;
                    }
                    Files.write(file, image);
                    Journal next = new Journal(new FileSystemVolume(dir));
                    List<byte[]> found = next.recover();
                    boolean third = end >= synced + 8 + record(2).length;
                    assertTrue(found.size() >= (third ? 3 : 2) && found.size() < 4, "at " + end);
                    for (int i = 0; i < 2; i++) {
                        assertEquals(found.get(i), record(i));
                    }
                    if (found.size() == 3) {
                        boolean skipped = !cut && !third;
                        assertEquals(found.get(2), record(skipped ? 3 : 2), "at " + end);
                    }
                    assertFalse(next.mayHaveLostRecords());
                    boolean between = cut && (end == synced || third && end == synced + 8 + record(2).length);
                    assertEquals(next.problems().size(), between ? 0 : 1, "at " + end + next.problems());
                    assertTrue(between || next.problems().get(0).startsWith("items-1 at "));
                }
            }
        }
    }

    /** A generation whose state is not complete gives way to the one before it. */
    @Test
    public void previousGenerationIsReadUntilTheNextIsComplete() throws IOException {
        try (Journal journal = new Journal(new FileSystemVolume(dir))) {
            journal.recover();
            journal.startGeneration(List.of(record(0)));
            journal.startGeneration(List.of(record(0), record(1)));
            Files.write(dir.resolve("items-3"), Arrays.copyOf(Files.readAllBytes(dir.resolve("items-2")), 9));
            Files.write(dir.resolve("fresh"), new byte[] {1, 2, 3});
            Journal next = new Journal(new FileSystemVolume(dir));
            assertEquals(next.recover().size(), 2);
            next.startGeneration(List.of(record(2)));
            next.close();
            assertEquals(new Journal(new FileSystemVolume(dir)).recover().get(0), record(2));
        }
    }

    /**
     * A start may find a generation that was renamed although the sync of its folder has failed: nothing may be
     * appended to the one before it, where that start would not read it.
     */
    @Test
    public void nothingIsAppendedAfterAFailedGeneration() throws IOException {
        boolean[] fails = {false};
        Volume volume = new Volume() {
            private final Volume folder = new FileSystemVolume(dir);

            @Override
            public List<String> fileNames() throws IOException {
                return folder.fileNames();
            }

            @Override
            public byte[] read(String name) throws IOException {
                return folder.read(name);
            }

            @Override
            public WritableFile create(String name) throws IOException {
                return folder.create(name);
            }

            @Override
            public void rename(String from, String to) throws IOException {
                folder.rename(from, to);
            }

            @Override
            public void syncDirectory() throws IOException {
                if (fails[0]) {
                    throw new IOException("no room");
                }
                folder.syncDirectory();
            }

            @Override
            public void delete(String name) throws IOException {
                folder.delete(name);
            }
        };
        Journal journal = new Journal(volume);
        journal.recover();
        journal.startGeneration(List.of(record(0)));
        fails[0] = true;
        try {
            journal.startGeneration(List.of(record(0)));
            fail("the folder cannot be synced");
        } catch (IOException e) {
            assertTrue(journal.isBroken());
        }
        try {
            journal.append(record(1));
            fail("a start would not read it");
        } catch (IOException e) {
            assertTrue(journal.isBroken());
        }
        fails[0] = false;
        journal.startGeneration(List.of(record(0), record(1)));
        journal.append(record(2));
        journal.sync();
        journal.close();
        assertEquals(new Journal(new FileSystemVolume(dir)).recover().size(), 3);
    }
}
