package reedmux.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * A request's body on its way. A small one is gathered whole and may be sent more than once; of a large one
 * what has been passed on is not kept. For the reactor's thread.
 */
final class Upload {
    /** Up to here a body is gathered; a larger one goes on as it comes. */
    static final int GATHERED = 512 * 1024;
    /** Bytes of a large one that may wait here. */
    private static final int MOST_HELD = 512 * 1024;

    /** The length that was told, or -1. */
    private final long length;

    private final List<byte[]> pieces = new ArrayList<>();
    private int held;
    private long size;
    private boolean whole;
    private boolean flows;
    private Runnable more = () -> {};
    private Runnable room = () -> {};

    Upload(long length) {
        this.length = length;
    }

    void take(byte[] piece) {
        pieces.add(piece);
        held += piece.length;
        size += piece.length;
        more.run();
    }

    void end() {
        whole = true;
        more.run();
    }

    /** Whether it can be sent now, as it is whole or is too large to wait for. */
    boolean ready() {
        return whole || held >= GATHERED;
    }

    boolean whole() {
        return whole;
    }

    /** Whether all of it is here from its first byte. */
    boolean fromStart() {
        return !flows;
    }

    boolean full() {
        return held > MOST_HELD;
    }

    int held() {
        return held;
    }

    /** The length to be told: known once it is whole. */
    long length() {
        return whole ? size : length;
    }

    /** Whom more is told, and whom that there is room again. */
    void listen(Runnable onMore) {
        more = onMore;
    }

    void onRoom(Runnable onRoom) {
        room = onRoom;
    }

    /**
     * The piece of that number, or null while it has not come. One that flows keeps none that was asked for.
     */
    byte[] piece(int number) {
        if (whole && !flows) {
            return number < pieces.size() ? pieces.get(number) : null;
        }
        flows = true;
        if (number >= pieces.size()) {
            return null;
        }
        byte[] piece = pieces.get(number);
        pieces.set(number, null);
        held -= piece.length;
        if (held < MOST_HELD / 2) {
            room.run();
        }
        return piece;
    }

    boolean done(int number) {
        return whole && number >= pieces.size();
    }
}
