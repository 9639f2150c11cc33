package reedmux.proxy;

import reedmux.common.eventloop.Connection;

/**
 * The input that a client sends while its current request is still in progress. A limited amount is buffered for the
 * next requests. Larger input is discarded, up to a limit, so that the proxy keeps reading and detects when the client
 * disconnects. Once any input was discarded no later request can be read, and the connection is closed after the
 * current response.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class PipelinedInput {
    /** Size of buffered input of later requests, in bytes, from which on all of it is discarded. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** Number of discarded bytes above which the client is disconnected. */
    private static final long MAX_DISCARDED_BYTES = 1024 * 1024;

    private final Connection connection;
    private long discardedBytes;

    PipelinedInput(Connection connection) {
        this.connection = connection;
    }

    /** Returns whether any input was discarded. */
    boolean hasDiscarded() {
        return discardedBytes > 0;
    }

    /** Returns whether more input was discarded than a client may send. */
    boolean exceedsDiscardLimit() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /**
     * Discards the available input if it is too large to buffer, or if input was discarded before; returns whether
     * there was any to discard.
     */
    boolean discardExcess() {
        int available = connection.available();
        if (available == 0 || !hasDiscarded() && available < MAX_BUFFERED_BYTES) {
            return false;
        }
        discardedBytes += available;
        connection.skip(available);
        return true;
    }

    /**
     * Returns whether the client has ended its input by now. Input that is too large to buffer is discarded to find the
     * end; if that exceeds the limit, the end is not detected and the result is false.
     */
    boolean pollInputEnded() {
        while (!connection.pollInputEnded()) {
            if (!discardExcess() || exceedsDiscardLimit()) {
                return false;
            }
        }
        return true;
    }
}
