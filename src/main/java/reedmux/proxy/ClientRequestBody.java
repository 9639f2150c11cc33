package reedmux.proxy;

import java.util.ArrayList;
import java.util.List;
import reedmux.common.eventloop.BufferBudget;
import reedmux.common.http1.BodyBuffer;

/**
 * The body of a client's request. A body that is complete before it is first read is buffered and can be sent more than
 * once. A body that is read while it is still being received is streamed: each chunk is released when it is read, so
 * that the body can be sent only once.
 *
 * <p>How much is buffered depends on the remaining {@link BufferBudget} of the process: the more bodies are being
 * received, the earlier each of them is streamed. A body is discarded if it is the largest buffer when the budget is
 * exceeded; it cannot be sent any more then.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class ClientRequestBody implements BufferBudget.BufferOwner {
    /**
     * Maximum size in bytes at which an incomplete body is sent without waiting for the rest, and is thus streamed.
     * Smaller bodies are buffered completely before they are sent. Back-pressure is applied above it.
     */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    /** The value of Content-Length, or -1 for a chunked body. */
    private final long declaredLength;

    private final BufferBudget budget;
    private final BufferBudget.Account bufferAccount;
    private final BodyBuffer buffer = new BodyBuffer();
    private boolean complete;
    private boolean streaming;
    /** Number of bytes at the start of a streamed body that were read and released. */
    private long releasedBytes;

    private boolean discarded;
    /** One for each attempt that sends the body. */
    private final List<Runnable> chunkListeners = new ArrayList<>(1);

    private Runnable capacityListener = () -> {};
    private Runnable discardListener = () -> {};

    ClientRequestBody(long declaredLength, BufferBudget budget) {
        this.declaredLength = declaredLength;
        this.budget = budget;
        bufferAccount = budget.openAccount(this);
    }

    /** Appends received bytes; they are dropped if the body was discarded. */
    void append(byte[] bytes) {
        if (discarded) {
            return;
        }
        buffer.append(bytes);
        reportBufferBytes();
        notifyChunkListeners();
    }

    private void reportBufferBytes() {
        bufferAccount.report(buffer.heldBytes());
    }

    /** Marks the body as completely received. */
    void finish() {
        complete = true;
        notifyChunkListeners();
    }

    /** Returns whether the body can be sent now: it is complete, or too large to wait for the rest. */
    boolean isReadyToSend() {
        return complete || buffer.heldBytes() >= maxBufferedBytes();
    }

    boolean isComplete() {
        return complete;
    }

    /** Returns whether no chunk has been released, so that the body can be sent again from its start. */
    boolean isReplayable() {
        return !streaming && !discarded;
    }

    /** Returns whether the body was given up because the buffers of the process were full. */
    boolean isDiscarded() {
        return discarded;
    }

    /** Returns whether reading from the client must be paused until the buffer has been read. */
    boolean isFull() {
        return buffer.heldBytes() > maxBufferedBytes();
    }

    private long maxBufferedBytes() {
        return budget.threshold(MAX_BUFFERED_BYTES);
    }

    /** Returns the length in bytes, or -1 if it is not known yet. */
    long length() {
        return complete ? buffer.length() : declaredLength;
    }

    /** Adds a listener that is called when a chunk or the end of the body was received, or the body was discarded. */
    void addChunkListener(Runnable listener) {
        chunkListeners.add(listener);
    }

    void removeChunkListener(Runnable listener) {
        chunkListeners.remove(listener);
    }

    private void notifyChunkListeners() {
        for (Runnable listener : List.copyOf(chunkListeners)) {
            listener.run();
        }
    }

    /** Sets the listener that is called when a chunk is read while less than half of the buffer is in use. */
    void setCapacityListener(Runnable listener) {
        capacityListener = listener;
    }

    /** Sets the listener that is called when the body is discarded. */
    void setDiscardListener(Runnable listener) {
        discardListener = listener;
    }

    /** Returns whether the bytes from an offset on can be read, now or once they are received. */
    boolean isReadableFrom(long offset) {
        return !discarded && offset >= releasedBytes;
    }

    /**
     * Returns the bytes that begin at an offset, as many as are held together, or null if none was received yet. The
     * offset counts from the start of the body and must be 0 or the end of bytes that were returned before. Each byte
     * of a streamed body can be read only once ({@link #isReadableFrom}).
     */
    byte[] blockAt(long offset) {
        if (complete && !streaming) {
            return buffer.blockAt(offset);
        }
        streaming = true;
        byte[] block = buffer.removeFirstBlock();
        if (block != null) {
            releasedBytes += block.length;
            reportBufferBytes();
            if (buffer.heldBytes() == 0 || buffer.heldBytes() < maxBufferedBytes() / 2) {
                capacityListener.run();
            }
        }
        return block;
    }

    /** Returns whether the body is complete and ends at an offset from its start. */
    boolean endsAt(long offset) {
        return complete && !discarded && offset == buffer.length();
    }

    /** Releases the buffer of a body that is not sent any more. */
    void release() {
        discarded = true;
        buffer.clear();
        bufferAccount.report(0);
    }

    @Override
    public void onBudgetExceeded() {
        release();
        notifyChunkListeners();
        discardListener.run();
    }
}
