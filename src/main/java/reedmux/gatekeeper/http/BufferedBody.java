package reedmux.gatekeeper.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * Message bodies that are held in memory: {@link InboundBody} collects a received body, {@link OutboundBody} writes a
 * body to a connection.
 */
final class BufferedBody {
    static final byte[] EMPTY = {};

    /**
     * Collects a body of up to {@link HttpTransport#MAX_BUFFERED_BODY_BYTES}; bytes beyond this limit are discarded.
     */
    static final class InboundBody {
        private final ByteArrayOutputStream bytes;
        private boolean tooLong;

        InboundBody(EntityDetails details) {
            long declaredLength = Math.max(0, details.getContentLength());
            bytes = new ByteArrayOutputStream((int) Math.min(HttpTransport.MAX_BUFFERED_BODY_BYTES, declaredLength));
        }

        void append(ByteBuffer source) {
            tooLong |= bytes.size() + source.remaining() > HttpTransport.MAX_BUFFERED_BODY_BYTES;
            byte[] chunk = new byte[source.remaining()];
            source.get(chunk);
            if (!tooLong) {
                bytes.write(chunk, 0, chunk.length);
            }
        }

        boolean isTooLong() {
            return tooLong;
        }

        int size() {
            return bytes.size();
        }

        byte[] bytes() {
            return bytes.toByteArray();
        }
    }

    /** Writes a body in portions of the size that the connection accepts. */
    static final class OutboundBody {
        private final ByteBuffer bytes;

        OutboundBody(byte[] bytes) {
            this.bytes = ByteBuffer.wrap(bytes);
        }

        int available() {
            return bytes.remaining();
        }

        void writeTo(DataStreamChannel channel) throws IOException {
            channel.write(bytes);
            if (!bytes.hasRemaining()) {
                channel.endStream();
            }
        }
    }

    private BufferedBody() {}
}
