package reedmux.simulation.soak;

import java.util.Random;
import java.util.zip.CRC32;

/** A large request body with a digest, by which a checker recognizes a body that was cut short or changed. */
final class DigestedBody {
    /** The request header with the length and digest of the body. */
    static final String HEADER = "Body-Digest";
    /** Longer than what the kernel and the proxy hold of an unread connection; the checkers take 8 MiB at most. */
    private static final int MAX_BYTES = 8_000_000;

    private DigestedBody() {}

    /** Draws a body of any length up to the maximum. */
    static byte[] draw(Random random) {
        byte[] body = new byte[random.nextInt(MAX_BYTES)];
        random.nextBytes(body);
        return body;
    }

    /** Returns the value of {@link #HEADER} for a body. */
    static String digest(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return body.length + "-" + Long.toHexString(crc.getValue());
    }
}
