package reedmux.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * The body of a client's request. A body that is complete before it is first read is buffered and can be sent more than
 * once. A body that is read while it is still being received is streamed: each chunk is released when it is read, so
 * that the body can be sent only once.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class ClientRequestBody {
    /**
     * Size in bytes at which an incomplete body is sent without waiting for the rest, and is thus streamed. Smaller
     * bodies are buffered completely before they are sent.
     */
    private static final int MAX_REPLAYABLE_BYTES = 512 * 1024;
    /** Buffered bytes above which back-pressure is applied to the client. */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    /** The value of Content-Length, or -1 for a chunked body. */
    private final long declaredLength;

    private final List<byte[]> chunks = new ArrayList<>();
    private int bufferedBytes;
    private long receivedBytes;
    private boolean complete;
    private boolean streaming;
    private Runnable chunkListener = () -> {};
    private Runnable capacityListener = () -> {};

    ClientRequestBody(long declaredLength) {
        this.declaredLength = declaredLength;
    }

    void append(byte[] chunk) {
        chunks.add(chunk);
        bufferedBytes += chunk.length;
        receivedBytes += chunk.length;
        chunkListener.run();
    }

    /** Marks the body as completely received. */
    void finish() {
        complete = true;
        chunkListener.run();
    }

    /** Returns whether the body can be sent now: it is complete, or too large to wait for the rest. */
    boolean isReadyToSend() {
        return complete || bufferedBytes >= MAX_REPLAYABLE_BYTES;
    }

    boolean isComplete() {
        return complete;
    }

    /** Returns whether no chunk has been released, so that the body can be sent again from its start. */
    boolean isReplayable() {
        return !streaming;
    }

    /**
     * Returns whether reading from the client must be paused until the listener set by {@link #setCapacityListener} is
     * called.
     */
    boolean isFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    int bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns the length in bytes, or -1 if it is not known yet. */
    long length() {
        return complete ? receivedBytes : declaredLength;
    }

    /** Sets the listener that is called when a chunk or the end of the body was received; replaces the previous one. */
    void setChunkListener(Runnable listener) {
        chunkListener = listener;
    }

    /** Sets the listener that is called when a chunk is read while less than half of the buffer is in use. */
    void setCapacityListener(Runnable listener) {
        capacityListener = listener;
    }

    /**
     * Returns the chunk at an index, or null if it was not received yet. Each chunk of a streamed body can be read only
     * once.
     */
    byte[] chunk(int index) {
        if (complete && !streaming) {
            return index < chunks.size() ? chunks.get(index) : null;
        }
        streaming = true;
        if (index >= chunks.size()) {
            return null;
        }
        byte[] chunk = chunks.get(index);
        chunks.set(index, null);
        bufferedBytes -= chunk.length;
        if (bufferedBytes < MAX_BUFFERED_BYTES / 2) {
            capacityListener.run();
        }
        return chunk;
    }

    /** Returns whether the body is complete and has no chunk at an index. */
    boolean isExhausted(int index) {
        return complete && index >= chunks.size();
    }
}
