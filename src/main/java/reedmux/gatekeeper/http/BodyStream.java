package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import reedmux.gatekeeper.reducer.CallResult;

/**
 * A message body that is relayed from a source connection to a sink connection while it is being received, with flow
 * control. It buffers the bytes that have not been written to the sink yet, and grants the source capacity for at most
 * {@link #MAX_BUFFERED_BYTES} more than the sink has taken. Either side may end the stream.
 *
 * <p>Thread-safe. The connections of the source and the sink are called without holding the monitor, except to write.
 */
public final class BodyStream implements CallResult.RemainingBody {
    /** Maximum number of bytes that one stream buffers; a single read may exceed it slightly. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** Maximum number of bytes that one stream buffers while all streams together exceed the pressure threshold. */
    static final int MAX_BUFFERED_BYTES_UNDER_PRESSURE = 8 * 1024;
    /** Total number of bytes buffered in all streams above which each stream buffers less. */
    private static final long PRESSURE_THRESHOLD_BYTES = 8L * 1024 * 1024;

    private static final int CHUNK_BYTES = 8 * 1024;
    /** Minimum number of bytes of one grant to the source; a smaller capacity is not granted. */
    private static final int MIN_GRANT_BYTES = 4 * 1024;

    private static final AtomicLong TOTAL_BUFFERED = new AtomicLong();

    private final long length;
    private final long maxBytes;
    private final Deque<ByteBuffer> chunks = new ArrayDeque<>();
    private long receivedBytes;
    private long sentBytes;
    private long grantedBytes;
    private CapacityChannel source;
    private DataStreamChannel sink;
    private Runnable failureListener = () -> {};
    private boolean complete;
    private boolean failed;
    private boolean closed;

    /**
     * Creates a stream that has not received any bytes.
     *
     * @param length       length of the body in bytes, or -1 if it is unknown
     * @param maxBytes     maximum length of the body in bytes
     * @param grantedBytes number of bytes that the source may already send
     */
    BodyStream(long length, long maxBytes, long grantedBytes) {
        this.length = length;
        this.maxBytes = maxBytes;
        this.grantedBytes = grantedBytes;
    }

    @Override
    public long length() {
        return length;
    }

    // ---- The source --------------------------------------------------------------------------------
    /**
     * Receives bytes from the source. Returns false if the body exceeds its maximum length; the stream fails in this
     * case.
     */
    boolean receive(ByteBuffer bytes) {
        DataStreamChannel waitingSink;
        synchronized (this) {
            if (closed) {
                bytes.position(bytes.limit());
                return true;
            }
            receivedBytes += bytes.remaining();
            if (receivedBytes <= maxBytes) {
                TOTAL_BUFFERED.addAndGet(bytes.remaining());
                buffer(bytes);
            }
            waitingSink = sink;
        }
        if (receivedBytes > maxBytes) {
            fail();
            return false;
        }
        if (waitingSink != null) {
            waitingSink.requestOutput();
        }
        return true;
    }

    private void buffer(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            ByteBuffer last = chunks.peekLast();
            if (last == null || last.limit() == last.capacity()) {
                last = ByteBuffer.allocate(CHUNK_BYTES);
                last.limit(0);
                chunks.add(last);
            }
            int count = Math.min(bytes.remaining(), last.capacity() - last.limit());
            int end = last.limit();
            last.limit(end + count);
            last.put(end, bytes, bytes.position(), count);
            bytes.position(bytes.position() + count);
        }
    }

    /** Sets the channel on which the source is granted further capacity. */
    void attachSource(CapacityChannel channel) throws IOException {
        synchronized (this) {
            source = channel;
        }
        grantCapacity();
    }

    private void grantCapacity() throws IOException {
        CapacityChannel channel;
        long additionalBytes;
        synchronized (this) {
            long maxBufferedBytes = TOTAL_BUFFERED.get() > PRESSURE_THRESHOLD_BYTES
                    ? MAX_BUFFERED_BYTES_UNDER_PRESSURE
                    : MAX_BUFFERED_BYTES;
            additionalBytes = closed ? Integer.MAX_VALUE : sentBytes + maxBufferedBytes - grantedBytes;
            channel = source;
            if (channel == null || additionalBytes < MIN_GRANT_BYTES) {
                return;
            }
            grantedBytes += additionalBytes;
            if (closed) {
                source = null; // the source may send the entire rest, which is discarded
            }
        }
        channel.update((int) additionalBytes);
    }

    /** Marks the body as completely received. */
    void complete() {
        DataStreamChannel waitingSink;
        synchronized (this) {
            complete = true;
            waitingSink = sink;
        }
        if (waitingSink != null) {
            waitingSink.requestOutput();
        }
    }

    /**
     * Marks the stream as failed, discards its bytes and runs the failure listener; has no effect if the stream is
     * closed.
     */
    void fail() {
        Runnable listener;
        synchronized (this) {
            if (closed || failed) {
                return;
            }
            failed = true;
            listener = failureListener;
        }
        discardRest();
        listener.run();
    }

    // ---- The sink ----------------------------------------------------------------------------------
    /** Sets the listener that runs when the source fails; it runs immediately if the source has already failed. */
    void onFailure(Runnable listener) {
        boolean alreadyFailed;
        synchronized (this) {
            failureListener = listener;
            alreadyFailed = failed;
        }
        if (alreadyFailed) {
            listener.run();
        }
    }

    /** Returns the number of bytes available to the sink, or 1 if only the end of the body remains to be signalled. */
    synchronized int available() {
        return closed ? 0 : bufferedBytes() > 0 ? (int) bufferedBytes() : complete ? 1 : 0;
    }

    /** Writes as many bytes as the sink accepts; returns true if this call has completed the body. */
    boolean writeTo(DataStreamChannel channel) throws IOException {
        boolean bodyWritten = false;
        synchronized (this) {
            sink = channel;
            while (!closed && !chunks.isEmpty()) {
                ByteBuffer chunk = chunks.peek();
                int positionBefore = chunk.position();
                channel.write(chunk);
                int written = chunk.position() - positionBefore;
                sentBytes += written;
                TOTAL_BUFFERED.addAndGet(-written);
                if (chunk.hasRemaining()) {
                    break;
                }
                if (chunk.limit() == chunk.capacity() || chunks.size() > 1 || complete) {
                    chunks.poll();
                } else {
                    chunk.limit(0); // the next read refills this chunk
                    break;
                }
            }
            if (!closed && complete && bufferedBytes() == 0) {
                closed = true;
                bodyWritten = true;
            }
        }
        if (bodyWritten) {
            channel.endStream();
        }
        grantCapacity();
        return bodyWritten;
    }

    /** Stops writing to the sink; buffered bytes and all bytes that are received later are discarded. */
    void discardRest() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            TOTAL_BUFFERED.addAndGet(-bufferedBytes());
            chunks.clear();
        }
        try {
            grantCapacity();
        } catch (IOException e) {
            // the source's connection is closed as well
        }
    }

    // ---- State -------------------------------------------------------------------------------------
    private long bufferedBytes() {
        return Math.min(receivedBytes, maxBytes) - sentBytes;
    }

    /** Whether no byte has been written yet, so that another sink can still receive the whole body. */
    synchronized boolean isUnread() {
        return sentBytes == 0 && !closed;
    }

    /** Whether the whole body has been received. */
    synchronized boolean isComplete() {
        return complete;
    }

    /** Whether the stream is waiting for bytes that the source has been granted. */
    synchronized boolean awaitsSource() {
        return !closed && !complete && grantedBytes - receivedBytes >= MIN_GRANT_BYTES;
    }

    /** Whether buffered bytes are waiting to be written to the sink. */
    synchronized boolean awaitsSink() {
        return !closed && bufferedBytes() > 0;
    }

    /** Returns the sum of the bytes received and written, which grows as long as the stream makes progress. */
    synchronized long bytesMoved() {
        return receivedBytes + sentBytes;
    }

    synchronized long bytesReceived() {
        return receivedBytes;
    }

    /** Returns the number of bytes currently buffered by all streams. */
    static long totalBufferedBytes() {
        return TOTAL_BUFFERED.get();
    }
}
