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
 * A body that is streamed from one connection, its source, to another, its sink, with flow control: it buffers what the
 * sink has not taken yet, and grants the source no more than {@link #MAX_BUFFERED_BYTES} of that. Either side may end
 * it.
 *
 * <p>For all threads. The source's and the sink's connections are not called with the monitor held, except to write.
 */
public final class BodyStream implements CallResult.RemainingBody {
    /** Bytes that one stream may buffer; a read may add a little more. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    static final int MAX_BUFFERED_BYTES_UNDER_PRESSURE = 8 * 1024;
    /** Bytes in all streams from which on each may buffer less. */
    private static final long PRESSURE_THRESHOLD_BYTES = 8L * 1024 * 1024;

    private static final int CHUNK_BYTES = 8 * 1024;
    /** The source is not granted less than this. */
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
     * A stream of which nothing has been received yet.
     *
     * @param length       of the body, -1 if it is not known
     * @param maxBytes     that the body may have
     * @param grantedBytes that the source may send so far
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
    /** Receives bytes of the source; returns false if the body is too long, with which the stream has failed. */
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

    /** Sets where the source is granted further bytes. */
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
                source = null; // the rest has been granted, and is discarded
            }
        }
        channel.update((int) additionalBytes);
    }

    /** The source has sent the whole body. */
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

    /** The source has failed. */
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
    /** Sets what is run when the source fails; it is run at once if the source has failed already. */
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

    /** Bytes that wait for the sink; 1 if there are none but the end. */
    synchronized int available() {
        return closed ? 0 : bufferedBytes() > 0 ? (int) bufferedBytes() : complete ? 1 : 0;
    }

    /** Writes as much as the sink takes; returns whether the body has been written completely. */
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
                    chunk.limit(0); // refilled by the next read
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

    /** The sink takes no more; what is still received is discarded. */
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
            // the source's connection has been closed, too
        }
    }

    // ---- State -------------------------------------------------------------------------------------
    private long bufferedBytes() {
        return Math.min(receivedBytes, maxBytes) - sentBytes;
    }

    /** Whether nothing has been written yet, so that another sink can have the whole body. */
    synchronized boolean isUnread() {
        return sentBytes == 0 && !closed;
    }

    /** Whether the whole body has been received. */
    synchronized boolean isComplete() {
        return complete;
    }

    /** Whether the source may send more. */
    synchronized boolean awaitsSource() {
        return !closed && !complete && grantedBytes - receivedBytes >= MIN_GRANT_BYTES;
    }

    /** Whether the sink has something to take. */
    synchronized boolean awaitsSink() {
        return !closed && bufferedBytes() > 0;
    }

    /** Bytes received plus bytes written; as long as it grows there is progress. */
    synchronized long bytesMoved() {
        return receivedBytes + sentBytes;
    }

    synchronized long bytesReceived() {
        return receivedBytes;
    }

    /** Bytes that all streams buffer now. */
    static long totalBufferedBytes() {
        return TOTAL_BUFFERED.get();
    }
}
