package reedmux.proxy;

import reedmux.common.eventloop.Connection;

/**
 * What a client sends behind a request that is open. Some of it is kept for later; the rest is dropped, up to a limit,
 * so that the connection is read on and the client's end is seen. Once something was dropped no later request can be
 * read, and the connection ends behind the response. For the reactor's thread.
 */
final class PipelinedInput {
    /** Bytes of later requests that are kept. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** With more than this a client is given up. */
    private static final long MAX_DISCARDED_BYTES = 1024 * 1024;

    private final Connection connection;
    private long discardedBytes;

    PipelinedInput(Connection connection) {
        this.connection = connection;
    }

    /** Whether anything was dropped. */
    boolean hasDiscarded() {
        return discardedBytes > 0;
    }

    /** Whether more was dropped than a client may send. */
    boolean exceedsDiscardLimit() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /** Drops what would not be kept; returns whether there was any. */
    boolean discardExcess() {
        int available = connection.available();
        if (available == 0 || !hasDiscarded() && available < MAX_BUFFERED_BYTES) {
            return false;
        }
        discardedBytes += available;
        connection.skip(available);
        return true;
    }

    /** Whether the client's input ends by now, if that is seen behind what has to be dropped for it. */
    boolean pollInputEnded() {
        while (!connection.pollInputEnded()) {
            if (!discardExcess() || exceedsDiscardLimit()) {
                return false;
            }
        }
        return true;
    }
}
