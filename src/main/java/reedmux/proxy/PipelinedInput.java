package reedmux.proxy;

import reedmux.common.eventloop.Connection;

/**
 * What a client sends behind a request that is open. Some of it is kept for later; the rest is dropped, up to a limit,
 * so that the connection is read on and the client's end is seen. Once something was dropped no later request can be
 * read, and the connection ends behind the response. For the reactor's thread.
 */
final class PipelinedInput {
    /** Bytes of later requests that are kept. */
    private static final int MAX_KEPT_BYTES = 64 * 1024;
    /** With more than this a client is given up. */
    private static final long MAX_DROPPED_BYTES = 1024 * 1024;

    private final Connection connection;
    private long droppedBytes;

    PipelinedInput(Connection connection) {
        this.connection = connection;
    }

    /** Whether anything was dropped. */
    boolean wasDropped() {
        return droppedBytes > 0;
    }

    /** Whether more was dropped than a client may send. */
    boolean exceedsLimit() {
        return droppedBytes > MAX_DROPPED_BYTES;
    }

    /** Drops what would not be kept; returns whether there was any. */
    boolean dropExcess() {
        int available = connection.available();
        if (available == 0 || !wasDropped() && available < MAX_KEPT_BYTES) {
            return false;
        }
        droppedBytes += available;
        connection.skip(available);
        return true;
    }

    /** Whether the client's input ends by now, if that is seen behind what has to be dropped for it. */
    boolean pollEnd() {
        while (!connection.pollInputEnded()) {
            if (!dropExcess() || exceedsLimit()) {
                return false;
            }
        }
        return true;
    }
}
