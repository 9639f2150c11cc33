package reedmux.proxy;

import java.nio.charset.StandardCharsets;
import reedmux.common.eventloop.Connection;

/**
 * Writes one request to a connection: the head, and then the body as far as it has been received and the output queue
 * has room. It counts the bytes of the body and all bytes that it writes. These counts alone decide where the body
 * ends, and whether the connection may carry another request.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class RequestWriter {
    /**
     * Output queued for the checker, in bytes, from which on no more of the request body is written until the queue
     * drains.
     */
    private static final int MAX_WRITE_QUEUE_BYTES = 128 * 1024;

    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Connection connection;
    /** Null if the request has no body. */
    private final ClientRequestBody body;
    /** The length that the head declares, or -1 if the body is chunked. */
    private final long declaredLength;
    /** Number of bytes that were written to the connection before this request. */
    private final long startPosition;

    private long bodyBytes;
    /** Number of bytes of the whole request that were written, including the framing of chunks. */
    private long requestBytes;

    private boolean complete;

    /** Creates a writer and writes the head, which must declare the length that the body has by now. */
    RequestWriter(Connection connection, byte[] head, ClientRequestBody body) {
        this.connection = connection;
        this.body = body;
        declaredLength = body == null ? 0 : body.length();
        startPosition = connection.sentBytes() + connection.queuedBytes();
        write(head);
        complete = body == null;
    }

    /**
     * Writes what can be written of the body.
     *
     * @return false if the body can no longer be written completely: it was discarded, another attempt has read a part
     *     of it, or it is longer or shorter than declared
     */
    boolean writeBody() {
        while (!complete && connection.queuedBytes() < MAX_WRITE_QUEUE_BYTES) {
            if (!body.isReadableFrom(bodyBytes)) {
                return false;
            }
            byte[] block = body.blockAt(bodyBytes);
            if (block == null) {
                break;
            }
            writeBlock(block);
        }
        if (!complete && body.endsAt(bodyBytes)) {
            return finish();
        }
        return complete || body.isReadableFrom(bodyBytes) && !exceedsDeclaredLength();
    }

    private void writeBlock(byte[] block) {
        bodyBytes += block.length;
        if (exceedsDeclaredLength()) {
            return;
        } else if (declaredLength >= 0) {
            write(block);
            return;
        }
        write((Integer.toHexString(block.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        write(block);
        write(CRLF);
    }

    private boolean exceedsDeclaredLength() {
        return declaredLength >= 0 && bodyBytes > declaredLength;
    }

    private boolean finish() {
        if (declaredLength >= 0 && bodyBytes != declaredLength) {
            return false;
        } else if (declaredLength < 0) {
            write(LAST_CHUNK);
        }
        complete = true;
        return true;
    }

    private void write(byte[] bytes) {
        requestBytes += bytes.length;
        connection.write(bytes);
    }

    /** Returns whether the kernel has accepted any byte of the request. */
    boolean isPartlySent() {
        return connection.sentBytes() > startPosition;
    }

    /** Returns whether the kernel has accepted the whole request and nothing behind it. */
    boolean isSent() {
        return complete && connection.queuedBytes() == 0 && connection.sentBytes() == startPosition + requestBytes;
    }
}
