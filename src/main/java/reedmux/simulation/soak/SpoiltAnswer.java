package reedmux.simulation.soak;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;

/**
 * An answer that does not end by itself: it is sent until the caller closes the connection. Must be used on the
 * reactor's thread only.
 */
final class SpoiltAnswer {
    /** Pause between two pieces; the answer is much faster than the caller's time limits. */
    private static final long PIECE_INTERVAL_MICROS = 2_000;
    /** Unsent bytes above which the answer waits for the caller to read. */
    private static final int MAX_UNSENT_BYTES = 256 * 1024;

    private static final int PIECE_BYTES = 64 * 1024;
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** How an answer is spoilt. */
    private enum Kind {
        /** Large chunks without a last one. */
        ENDLESS_CHUNKS,
        /** Chunks of one byte without a last one. */
        ENDLESS_SMALL_CHUNKS,
        /** A long answer is announced, and only a part of it is sent. */
        UNFINISHED_LENGTH,
        /** Header lines without an end. */
        ENDLESS_HEAD
    }

    private final Reactor reactor;
    private final Connection connection;
    private final byte[] piece;
    private final boolean endless;

    private SpoiltAnswer(Reactor reactor, Connection connection, Kind kind) {
        this.reactor = reactor;
        this.connection = connection;
        endless = kind != Kind.UNFINISHED_LENGTH;
        piece = bytes(
                switch (kind) {
                    case ENDLESS_CHUNKS -> Integer.toHexString(PIECE_BYTES) + "\r\n" + "x".repeat(PIECE_BYTES) + "\r\n";
                    case ENDLESS_SMALL_CHUNKS -> "1\r\nx\r\n".repeat(PIECE_BYTES / 8);
                    case UNFINISHED_LENGTH -> "x".repeat(PIECE_BYTES);
                    case ENDLESS_HEAD -> "X-Line: 0123456789\r\n".repeat(100);
                });
        connection.write(bytes(
                switch (kind) {
                    case UNFINISHED_LENGTH -> "HTTP/1.1 200 OK\r\nContent-Length: 15000000\r\n\r\n";
                    case ENDLESS_HEAD -> "HTTP/1.1 200 OK\r\n";
                    default -> CHUNKED_HEAD;
                }));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Starts to send an answer of a random kind in place of the pending response. */
    static void start(Reactor reactor, Connection connection, Random random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        new SpoiltAnswer(reactor, connection, kind).sendPiece();
    }

    private void sendPiece() {
        if (!connection.isOpen()) {
            return;
        }
        if (connection.queuedBytes() < MAX_UNSENT_BYTES) {
            connection.write(piece);
        }
        if (endless) {
            reactor.scheduleAfter(PIECE_INTERVAL_MICROS, this::sendPiece);
        }
    }
}
