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
 * Reads and writes the files under {@code src/test/resources/compatibility}, which contain bytes written by an earlier
 * version of the programs that every later version must be able to read. Frames are stored as text with one frame per
 * line: a name, a space and the bytes in hexadecimal. Data folders are stored unchanged, as binary files.
 */
public final class FixtureFiles {
    private static final String ROOT = "/compatibility/";

    private FixtureFiles() {}

    /** Returns the bytes of a resource, for example {@code store/items-1}. */
    public static byte[] readBytes(String name) throws IOException {
        try (InputStream in = FixtureFiles.class.getResourceAsStream(ROOT + name)) {
            if (in == null) {
                throw new IOException("missing resource " + ROOT + name);
            }
            return in.readAllBytes();
        }
    }

    /** Returns the frames of a text resource by name, in the order of the file. */
    public static Map<String, byte[]> readFrames(String name) throws IOException {
        Map<String, byte[]> frames = new LinkedHashMap<>();
        for (String line : new String(readBytes(name), StandardCharsets.US_ASCII).split("\n")) {
            int space = line.indexOf(' ');
            byte[] frame = HexFormat.of().parseHex(line.substring(space + 1));
            if (frames.put(line.substring(0, space), frame) != null) {
                throw new IOException("duplicate frame name in " + name + ": " + line);
            }
        }
        return frames;
    }

    /** Copies resources from a resource folder, for example {@code store}, to a folder of the file system. */
    public static void copyResources(String folder, Path target, String... names) throws IOException {
        for (String name : names) {
            Files.write(target.resolve(name), readBytes(folder + '/' + name));
        }
    }

    /** Writes named frames to a text file. */
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
