package reedmux.proxy;

import reedmux.common.eventloop.Connection;
import reedmux.control.configuration.RequestLimits;

/**
 * The timeouts of a client's connection. Each state has its own; awaiting a response has none, because the deadline of
 * the request ends it, and neither has a deferred request, which ends with the start of the proxy.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class ClientConnectionTimeouts {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /**
     * Time that a client has to read a last response that was sent completely, before the connection is closed. It
     * begins anew with each input, because closing a connection with unread input could destroy the response.
     */
    private static final long LAST_RESPONSE_LINGER_MICROS = MICROS_PER_SECOND / 2;

    /** Time after which the connection is closed even if its last response was not sent, or input goes on. */
    private static final long UNSENT_RESPONSE_LINGER_MICROS = 10 * MICROS_PER_SECOND;

    /** Time since which the connection has been idle, reading a head, or closing, in microseconds. */
    private long stateSince;

    private long lastProgressAt;
    /** Number of bytes that had been sent when the timeouts were last checked. */
    private long sentBytesSeen;
    /**
     * Idle timeout announced to the client in the last response, in microseconds. A lower configured timeout takes
     * effect only with the next response.
     */
    private long announcedIdleMicros;

    /** Creates the timeouts of a connection that is idle from now on. */
    ClientConnectionTimeouts(long now, long idleTimeoutMicros) {
        stateSince = now;
        lastProgressAt = now;
        announcedIdleMicros = idleTimeoutMicros;
    }

    /** The connection has begun to read a head, or to close. */
    void onStateEntered(long now) {
        stateSince = now;
    }

    /** The connection awaits its next request. */
    void onRequestEnded(long now) {
        stateSince = now;
        lastProgressAt = now;
    }

    /** Input has arrived, or the proxy has resumed reading. */
    void onProgress(long now) {
        lastProgressAt = now;
    }

    /** Returns the time of the last progress in microseconds. */
    long lastProgressAt() {
        return lastProgressAt;
    }

    /** Sets the idle timeout that the next response announces. */
    void announceIdleTimeout(long micros) {
        announcedIdleMicros = micros;
    }

    long announcedIdleMicros() {
        return announcedIdleMicros;
    }

    /** Restarts the timeout of a connection that has a response if a part of that was sent since the last check. */
    void noteSentBytes(ClientConnection.State state, Connection connection, long now) {
        boolean hasResponse = state == ClientConnection.State.IDLE
                || state == ClientConnection.State.CLOSING
                || state == ClientConnection.State.DISCARDING_BODY;
        if (hasResponse && connection.queuedBytes() > 0 && connection.sentBytes() != sentBytesSeen) {
            stateSince = now;
            lastProgressAt = now;
        }
        sentBytesSeen = connection.sentBytes();
    }

    /** Returns whether the timeout of a state is exceeded. */
    boolean isExceeded(ClientConnection.State state, Connection connection, RequestLimits limits, long now) {
        return switch (state) {
            case IDLE -> now - stateSince > Math.max(announcedIdleMicros, limits.idleTimeoutMicros());
            case READING_HEAD -> now - stateSince > limits.headerTimeoutMicros();
            case READING_BODY, DISCARDING_BODY -> now - lastProgressAt > limits.idleTimeoutMicros();
            case CLOSING -> isLingerOver(connection, now);
            case DEFERRED, AWAITING_RESPONSE -> false;
        };
    }

    private boolean isLingerOver(Connection connection, long now) {
        boolean fullySent = connection.queuedBytes() == 0;
        boolean inputPaused = now - lastProgressAt > LAST_RESPONSE_LINGER_MICROS;
        return fullySent && inputPaused && now - stateSince > LAST_RESPONSE_LINGER_MICROS
                || now - stateSince > UNSENT_RESPONSE_LINGER_MICROS;
    }
}
