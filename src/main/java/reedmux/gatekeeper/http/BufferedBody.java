package reedmux.gatekeeper.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** Bodies that are held in memory: {@link InboundBody} is received, {@link OutboundBody} is sent. */
final class BufferedBody {
    static final byte[] EMPTY = {};

    /** Collects a body up to {@link HttpTransport#MAX_BUFFERED_BODY_BYTES}; what exceeds that is dropped. */
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

    /** Writes a body, as much at a time as the connection takes. */
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
