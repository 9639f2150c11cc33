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
 * A long body on its way from one connection, its source, to another, its sink. It holds what the sink has
 * not taken yet, and has the source bring no more than {@link #MAX_BUFFERED_BYTES} of that. Either side may end it. For
 * all threads; neither connection is called with the flow locked but to be written to.
 */
public final class BodyStream implements CallResult.RemainingBody {
    /** Bytes that one flow may hold, and one beside too many others; a read may bring a little more. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    static final int MAX_BUFFERED_BYTES_UNDER_PRESSURE = 8 * 1024;
    /** Bytes in all flows from which on each holds less. */
    private static final long PRESSURE_THRESHOLD_BYTES = 8L * 1024 * 1024;

    private static final int CHUNK_BYTES = 8 * 1024;
    /** Less than this is not worth asking for. */
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
     * A flow.
     *
     * @param length  of the whole body, -1 where that is not told
     * @param most    bytes that it may have
     * @param granted bytes that the source has been asked for so far
     */
    BodyStream(long length, long most, long granted) {
        this.length = length;
        this.maxBytes = most;
        this.grantedBytes = granted;
    }

    @Override
    public long length() {
        return length;
    }

    // ---- The source --------------------------------------------------------------------------------
    /** Takes what has come in; false where it is more than may be, and the flow has failed. */
    boolean receive(ByteBuffer bytes) {
        DataStreamChannel wake;
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
            wake = sink;
        }
        if (receivedBytes > maxBytes) {
            fail();
            return false;
        }
        if (wake != null) {
            wake.requestOutput();
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
            int some = Math.min(bytes.remaining(), last.capacity() - last.limit());
            int end = last.limit();
            last.limit(end + some);
            last.put(end, bytes, bytes.position(), some);
            bytes.position(bytes.position() + some);
        }
    }

    /** The source will bring nothing until it is asked for more. */
    void attachSource(CapacityChannel channel) throws IOException {
        synchronized (this) {
            source = channel;
        }
        grantCapacity();
    }

    private void grantCapacity() throws IOException {
        CapacityChannel channel;
        long more;
        synchronized (this) {
            long ahead = TOTAL_BUFFERED.get() > PRESSURE_THRESHOLD_BYTES
                    ? MAX_BUFFERED_BYTES_UNDER_PRESSURE
                    : MAX_BUFFERED_BYTES;
            more = closed ? Integer.MAX_VALUE : sentBytes + ahead - grantedBytes;
            channel = source;
            if (channel == null || more < MIN_GRANT_BYTES) {
                return;
            }
            grantedBytes += more;
            if (closed) {
                source = null; // all of the rest has been asked for, and is thrown away
            }
        }
        channel.update((int) more);
    }

    /** All has come in. */
    void complete() {
        DataStreamChannel wake;
        synchronized (this) {
            complete = true;
            wake = sink;
        }
        if (wake != null) {
            wake.requestOutput();
        }
    }

    /** The rest will never come. */
    void fail() {
        Runnable tell;
        synchronized (this) {
            if (closed || failed) {
                return;
            }
            failed = true;
            tell = failureListener;
        }
        discardRest();
        tell.run();
    }

    // ---- The sink ----------------------------------------------------------------------------------
    /** Whom a failure is told, at once where it has failed already. */
    void onFailure(Runnable told) {
        boolean already;
        synchronized (this) {
            failureListener = told;
            already = failed;
        }
        if (already) {
            told.run();
        }
    }

    /** Bytes that wait for the sink, or one where it has to be told of the end. */
    synchronized int available() {
        return closed ? 0 : bufferedBytes() > 0 ? (int) bufferedBytes() : complete ? 1 : 0;
    }

    /** Writes what the sink takes; returns whether that was the last of it. */
    boolean writeTo(DataStreamChannel channel) throws IOException {
        boolean last = false;
        synchronized (this) {
            sink = channel;
            while (!closed && !chunks.isEmpty()) {
                ByteBuffer chunk = chunks.peek();
                int before = chunk.position();
                channel.write(chunk);
                int some = chunk.position() - before;
                sentBytes += some;
                TOTAL_BUFFERED.addAndGet(-some);
                if (chunk.hasRemaining()) {
                    break;
                }
                if (chunk.limit() == chunk.capacity() || chunks.size() > 1 || complete) {
                    chunks.poll();
                } else {
                    chunk.limit(0); // it is filled anew
                    break;
                }
            }
            if (!closed && complete && bufferedBytes() == 0) {
                closed = true;
                last = true;
            }
        }
        if (last) {
            channel.endStream();
        }
        grantCapacity();
        return last;
    }

    /** The sink takes no more: what comes yet is thrown away. */
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
            // the source has gone too
        }
    }

    // ---- What can be seen --------------------------------------------------------------------------
    private long bufferedBytes() {
        return Math.min(receivedBytes, maxBytes) - sentBytes;
    }

    /** Whether no sink has had a byte of it, so that another one could have it all. */
    synchronized boolean isUnread() {
        return sentBytes == 0 && !closed;
    }

    /** Whether all of it has come in. */
    synchronized boolean isComplete() {
        return complete;
    }

    /** Whether more is waited for from the source. */
    synchronized boolean awaitsSource() {
        return !closed && !complete && grantedBytes - receivedBytes >= MIN_GRANT_BYTES;
    }

    /** Whether something waits for the sink. */
    synchronized boolean awaitsSink() {
        return !closed && bufferedBytes() > 0;
    }

    /** Bytes that have come in and gone out, together: as long as it grows, something moves. */
    synchronized long bytesMoved() {
        return receivedBytes + sentBytes;
    }

    synchronized long bytesReceived() {
        return receivedBytes;
    }

    /** Bytes that all flows hold now. */
    static long totalBufferedBytes() {
        return TOTAL_BUFFERED.get();
    }
}
