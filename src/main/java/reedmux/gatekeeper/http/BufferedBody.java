package reedmux.gatekeeper.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** The body of one message: gathered from a connection up to the bound, or written to one. */
final class BufferedBody {
    static final byte[] EMPTY = {};

    /** Gathers a body; past the bound it is thrown away, as there is no use for a part. */
    static final class InboundBody {
        private final ByteArrayOutputStream bytes;
        private boolean tooLong;

        InboundBody(EntityDetails details) {
            long told = Math.max(0, details.getContentLength());
            bytes = new ByteArrayOutputStream((int) Math.min(HttpTransport.MAX_BUFFERED_BODY_BYTES, told));
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

    /** Writes a body as far as the connection takes it. */
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
