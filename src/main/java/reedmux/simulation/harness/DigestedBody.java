package reedmux.simulation.harness;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.zip.CRC32;

/** A request body with a digest, by which a server recognizes a body that was cut short or changed. */
public final class DigestedBody {
    /** The request header with the length and digest of the body. */
    public static final String HEADER = "Body-Digest";

    private static final int CHUNK_BYTES = 16 * 1024;

    /** The digest of a body that is received in parts. */
    public static final class Digest {
        private final CRC32 crc = new CRC32();
        private long length;

        /** Adds the next bytes of the body. */
        public void update(byte[] bytes) {
            crc.update(bytes);
            length += bytes.length;
        }

        /** Returns the value of {@link #HEADER} for the bytes so far. */
        public String value() {
            return length + "-" + Long.toHexString(crc.getValue());
        }
    }

    private DigestedBody() {}

    /** Draws a body of any length below {@code maxBytes}. */
    public static byte[] draw(Random random, int maxBytes) {
        byte[] body = new byte[random.nextInt(maxBytes)];
        random.nextBytes(body);
        return body;
    }

    /** Returns the value of {@link #HEADER} for a whole body. */
    public static String digest(byte[] body) {
        Digest digest = new Digest();
        digest.update(body);
        return digest.value();
    }

    /**
     * Encodes a POST request with a body and its digest.
     *
     * @param headers complete header lines, each with its line end
     * @param chunked whether the body is sent in chunks rather than with a length
     */
    public static byte[] encodeRequest(String path, byte[] body, boolean chunked, String... headers) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + body.length / 100 + CHUNK_BYTES);
        writeText(out, "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + String.join("", headers));
        writeText(out, HEADER + ": " + digest(body) + "\r\n");
        if (chunked) {
            writeText(out, "Transfer-Encoding: chunked\r\n\r\n");
            writeChunks(out, body);
        } else {
            writeText(out, "Content-Length: " + body.length + "\r\n\r\n");
            out.writeBytes(body);
        }
        return out.toByteArray();
    }

    private static void writeChunks(ByteArrayOutputStream out, byte[] body) {
        for (int start = 0; start < body.length; start += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - start);
            writeText(out, Integer.toHexString(length) + "\r\n");
            out.write(body, start, length);
            writeText(out, "\r\n");
        }
        writeText(out, "0\r\n\r\n");
    }

    private static void writeText(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
