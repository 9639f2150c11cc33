package reedmux.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * The body of a client's request. It has two modes: a body that is complete before it is first read is buffered and
 * can be sent more than once; one that is read while it still comes in is streamed, and a chunk is dropped once it has
 * been read, so that it can be sent only once. For the reactor's thread.
 */
final class ClientRequestBody {
    /** A body up to this size is buffered before it is sent; a larger one is streamed. */
    private static final int MAX_REPLAYABLE_BYTES = 512 * 1024;
    /** Bytes that may wait here to be read, before the client is held up. */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    /** The Content-Length, or -1 for a chunked body. */
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

    /** All of it has come in. */
    void finish() {
        complete = true;
        chunkListener.run();
    }

    /** Whether it can be sent now: it is complete, or too large to wait for the rest. */
    boolean isReadyToSend() {
        return complete || bufferedBytes >= MAX_REPLAYABLE_BYTES;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether no chunk has been dropped, so that it can be sent from its start. */
    boolean isReplayable() {
        return !streaming;
    }

    /** Whether the client is to be held up until {@link #setCapacityListener} hears. */
    boolean isFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    int bufferedBytes() {
        return bufferedBytes;
    }

    /** The length in bytes, or -1 while it is not known. */
    long length() {
        return complete ? receivedBytes : declaredLength;
    }

    /** Sets who is called when a chunk or the end has come in; replaces the one before. */
    void setChunkListener(Runnable listener) {
        chunkListener = listener;
    }

    /** Sets who is called when half of the buffer is free again. */
    void setCapacityListener(Runnable listener) {
        capacityListener = listener;
    }

    /** The chunk of an index, or null while it has not come in; in a stream, each can be read once. */
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

    /** Whether there is no chunk at an index, and never will be. */
    boolean isExhausted(int index) {
        return complete && index >= chunks.size();
    }
}
