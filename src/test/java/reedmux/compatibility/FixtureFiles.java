package reedmux.compatibility;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads and writes the files under {@code src/test/resources/compatibility}: bytes that an earlier version of
 * the programs wrote, which every later version must read. Frames are kept as text, one a line: a name, a
 * space, the bytes in hexadecimal. A data folder is kept as it is, one binary file for each of its files.
 */
public final class FixtureFiles {
    private static final String ROOT = "/compatibility/";

    private FixtureFiles() {}

    /** Returns the bytes of one resource, for instance {@code store/items-1}. */
    public static byte[] readBytes(String name) throws IOException {
        try (InputStream in = FixtureFiles.class.getResourceAsStream(ROOT + name)) {
            if (in == null) {
                throw new IOException("no resource " + ROOT + name);
            }
            return in.readAllBytes();
        }
    }

    /** Returns the named frames of one text resource, in the order of the file. */
    public static Map<String, byte[]> readFrames(String name) throws IOException {
        Map<String, byte[]> frames = new LinkedHashMap<>();
        for (String line : new String(readBytes(name), StandardCharsets.US_ASCII).split("\n")) {
            int space = line.indexOf(' ');
            byte[] frame = HexFormat.of().parseHex(line.substring(space + 1));
            if (frames.put(line.substring(0, space), frame) != null) {
                throw new IOException("two frames with one name in " + name + ": " + line);
            }
        }
        return frames;
    }

    /** Copies resources of one folder, for instance {@code store}, into a folder of the file system. */
    public static void copyResources(String folder, Path target, String... names) throws IOException {
        for (String name : names) {
            Files.write(target.resolve(name), readBytes(folder + '/' + name));
        }
    }

    /** Writes named frames as one text file. */
    static void writeFrames(Path file, Map<String, byte[]> frames) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, byte[]> frame : frames.entrySet()) {
            text.append(frame.getKey())
                    .append(' ')
                    .append(HexFormat.of().formatHex(frame.getValue()))
                    .append('\n');
        }
        Files.createDirectories(file.getParent());
        Files.writeString(file, text, StandardCharsets.US_ASCII);
    }
}
