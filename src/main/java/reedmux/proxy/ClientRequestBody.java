package reedmux.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * A request's body on its way. A small one is gathered whole and may be sent more than once; of a large one
 * what has been passed on is not kept. For the reactor's thread.
 */
final class ClientRequestBody {
    /** Up to here a body is gathered; a larger one goes on as it comes. */
    static final int MAX_REPLAYABLE_BYTES = 512 * 1024;
    /** Bytes of a large one that may wait here. */
    private static final int MAX_BUFFERED_BYTES = 512 * 1024;

    /** The length that was told, or -1. */
    private final long declaredLength;

    private final List<byte[]> chunks = new ArrayList<>();
    private int bufferedBytes;
    private long receivedBytes;
    private boolean complete;
    private boolean streaming;
    private Runnable onChunk = () -> {};
    private Runnable onCapacity = () -> {};

    ClientRequestBody(long length) {
        this.declaredLength = length;
    }

    void append(byte[] piece) {
        chunks.add(piece);
        bufferedBytes += piece.length;
        receivedBytes += piece.length;
        onChunk.run();
    }

    void finish() {
        complete = true;
        onChunk.run();
    }

    /** Whether it can be sent now, as it is whole or is too large to wait for. */
    boolean isReadyToSend() {
        return complete || bufferedBytes >= MAX_REPLAYABLE_BYTES;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether all of it is here from its first byte. */
    boolean isReplayable() {
        return !streaming;
    }

    boolean isFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    int bufferedBytes() {
        return bufferedBytes;
    }

    /** The length to be told: known once it is whole. */
    long length() {
        return complete ? receivedBytes : declaredLength;
    }

    /** Whom more is told, and whom that there is room again. */
    void setChunkListener(Runnable onMore) {
        onChunk = onMore;
    }

    void setCapacityListener(Runnable onRoom) {
        onCapacity = onRoom;
    }

    /**
     * The piece of that number, or null while it has not come. One that flows keeps none that was asked for.
     */
    byte[] chunk(int number) {
        if (complete && !streaming) {
            return number < chunks.size() ? chunks.get(number) : null;
        }
        streaming = true;
        if (number >= chunks.size()) {
            return null;
        }
        byte[] piece = chunks.get(number);
        chunks.set(number, null);
        bufferedBytes -= piece.length;
        if (bufferedBytes < MAX_BUFFERED_BYTES / 2) {
            onCapacity.run();
        }
        return piece;
    }

    boolean isExhausted(int number) {
        return complete && number >= chunks.size();
    }
}
