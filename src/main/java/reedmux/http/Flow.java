package reedmux.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import reedmux.core.CallResult;

/**
 * A long body on its way from one connection, its source, to another, its sink. It holds what the sink has
 * not taken yet, and has the source bring no more than {@link #AHEAD} of that. Either side may end it. For
 * all threads; neither connection is called with the flow locked but to be written to.
 */
final class Flow implements CallResult.Rest {
    /** Bytes that one flow may hold, and one beside too many others; a read may bring a little more. */
    static final int AHEAD = 64 * 1024;

    static final int AHEAD_SCARCE = 8 * 1024;
    /** Bytes in all flows from which on each holds less. */
    private static final long MOST_HELD = 8L * 1024 * 1024;

    private static final int CHUNK = 8 * 1024;
    /** Less than this is not worth asking for. */
    private static final int LEAST = 4 * 1024;

    private static final AtomicLong HELD = new AtomicLong();

    private final long length;
    private final long most;
    private final Deque<ByteBuffer> chunks = new ArrayDeque<>();
    private long in;
    private long out;
    private long granted;
    private CapacityChannel source;
    private DataStreamChannel sink;
    private Runnable broken = () -> {};
    private boolean finished;
    private boolean failed;
    private boolean over;

    /**
     * A flow.
     *
     * @param length  of the whole body, -1 where that is not told
     * @param most    bytes that it may have
     * @param granted bytes that the source has been asked for so far
     */
    Flow(long length, long most, long granted) {
        this.length = length;
        this.most = most;
        this.granted = granted;
    }

    @Override
    public long length() {
        return length;
    }

    // ---- The source --------------------------------------------------------------------------------
    /** Takes what has come in; false where it is more than may be, and the flow has failed. */
    boolean put(ByteBuffer bytes) {
        DataStreamChannel wake;
        synchronized (this) {
            if (over) {
                bytes.position(bytes.limit());
                return true;
            }
            in += bytes.remaining();
            if (in <= most) {
                HELD.addAndGet(bytes.remaining());
                store(bytes);
            }
            wake = sink;
        }
        if (in > most) {
            fail();
            return false;
        }
        if (wake != null) {
            wake.requestOutput();
        }
        return true;
    }

    private void store(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            ByteBuffer last = chunks.peekLast();
            if (last == null || last.limit() == last.capacity()) {
                last = ByteBuffer.allocate(CHUNK);
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
    void source(CapacityChannel channel) throws IOException {
        synchronized (this) {
            source = channel;
        }
        ask();
    }

    private void ask() throws IOException {
        CapacityChannel channel;
        long more;
        synchronized (this) {
            long ahead = HELD.get() > MOST_HELD ? AHEAD_SCARCE : AHEAD;
            more = over ? Integer.MAX_VALUE : out + ahead - granted;
            channel = source;
            if (channel == null || more < LEAST) {
                return;
            }
            granted += more;
            if (over) {
                source = null; // all of the rest has been asked for, and is thrown away
            }
        }
        channel.update((int) more);
    }

    /** All has come in. */
    void finish() {
        DataStreamChannel wake;
        synchronized (this) {
            finished = true;
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
            if (over || failed) {
                return;
            }
            failed = true;
            tell = broken;
        }
        end();
        tell.run();
    }

    // ---- The sink ----------------------------------------------------------------------------------
    /** Whom a failure is told, at once where it has failed already. */
    void onFailure(Runnable told) {
        boolean already;
        synchronized (this) {
            broken = told;
            already = failed;
        }
        if (already) {
            told.run();
        }
    }

    /** Bytes that wait for the sink, or one where it has to be told of the end. */
    synchronized int available() {
        return over ? 0 : held() > 0 ? (int) held() : finished ? 1 : 0;
    }

    /** Writes what the sink takes; returns whether that was the last of it. */
    boolean writeTo(DataStreamChannel channel) throws IOException {
        boolean last = false;
        synchronized (this) {
            sink = channel;
            while (!over && !chunks.isEmpty()) {
                ByteBuffer chunk = chunks.peek();
                int before = chunk.position();
                channel.write(chunk);
                int some = chunk.position() - before;
                out += some;
                HELD.addAndGet(-some);
                if (chunk.hasRemaining()) {
                    break;
                }
                if (chunk.limit() == chunk.capacity() || chunks.size() > 1 || finished) {
                    chunks.poll();
                } else {
                    chunk.limit(0); // it is filled anew
                    break;
                }
            }
            if (!over && finished && held() == 0) {
                over = true;
                last = true;
            }
        }
        if (last) {
            channel.endStream();
        }
        ask();
        return last;
    }

    /** The sink takes no more: what comes yet is thrown away. */
    void end() {
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            HELD.addAndGet(-held());
            chunks.clear();
        }
        try {
            ask();
        } catch (IOException e) {
            // the source has gone too
        }
    }

    // ---- What can be seen --------------------------------------------------------------------------
    private long held() {
        return Math.min(in, most) - out;
    }

    /** Whether no sink has had a byte of it, so that another one could have it all. */
    synchronized boolean untouched() {
        return out == 0 && !over;
    }

    /** Whether all of it has come in. */
    synchronized boolean whole() {
        return finished;
    }

    /** Whether more is waited for from the source. */
    synchronized boolean wants() {
        return !over && !finished && granted - in >= LEAST;
    }

    /** Whether something waits for the sink. */
    synchronized boolean waits() {
        return !over && held() > 0;
    }

    /** Bytes that have come in and gone out, together: as long as it grows, something moves. */
    synchronized long moved() {
        return in + out;
    }

    synchronized long taken() {
        return in;
    }

    /** Bytes that all flows hold now. */
    static long heldByAll() {
        return HELD.get();
    }
}
