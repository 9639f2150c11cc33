package reedmux.message;

import reedmux.http.Grammar;
import reedmux.net.Wire;

/** Takes one message's body from a connection, as its head says where it ends. */
public final class BodyReader {
    private static final int LONGEST_LINE = 1024;
    private static final int MOST_TRAILERS = 32;
    private static final int UNREADABLE = 400;
    /** Most bytes taken at once. */
    private static final int PIECE = 64 * 1024;

    /** Where the bytes go. */
    public interface Sink {
        void take(byte[] bytes);
    }

    private enum At {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS,
        WHOLE
    }

    /** The length that the head told, or -1 where it comes in chunks. */
    private final long length;

    private At at;
    private long left;
    private int trailers;
    private long taken;

    private BodyReader(long length) {
        this.length = length;
        left = Math.max(0, length);
        at = length < 0 ? At.SIZE : length == 0 ? At.WHOLE : At.DATA;
    }

    public static BodyReader ofRequest(Head head) {
        return of(head, 0);
    }

    /**
     * Null where the answer has no end but that of its connection, so that nobody can tell if it is whole.
     */
    public static BodyReader ofAnswer(Head head, String method) {
        int status = head.status();
        if (method.equals("HEAD") || status == 204 || status == 304) {
            return new BodyReader(0);
        }
        return head.count("Content-Length") + head.count("Transfer-Encoding") == 0 ? null : of(head, 0);
    }

    private static BodyReader of(Head head, long otherwise) {
        String told = head.get("Content-Length");
        return new BodyReader(
                head.count("Transfer-Encoding") > 0 ? -1 : told == null ? otherwise : Long.parseLong(told));
    }

    /** The length that was told, or -1. */
    public long length() {
        return length;
    }

    public boolean whole() {
        return at == At.WHOLE;
    }

    /** Bytes of the body that have come. */
    public long taken() {
        return taken;
    }

    /** Takes what has come in. */
    public void read(Wire wire, Sink sink) throws BadMessage {
        while (at != At.WHOLE) {
            if (at == At.DATA) {
                int some = (int) Math.min(Math.min(left, PIECE), wire.available());
                if (some == 0) {
                    return;
                }
                taken += some;
                left -= some;
                sink.take(wire.take(some));
                if (left == 0) {
                    at = length < 0 ? At.DATA_END : At.WHOLE;
                }
                continue;
            }
            String line = line(wire);
            if (line == null) {
                return;
            }
            take(line);
        }
    }

    private void take(String line) throws BadMessage {
        if (at == At.DATA_END) {
            if (!line.isEmpty()) {
                throw bad("a chunk is longer than it says");
            }
            at = At.SIZE;
        } else if (at == At.SIZE) {
            String problem = Grammar.chunkLine(line);
            if (problem != null) {
                throw bad(problem);
            }
            left = Grammar.chunkSize(line);
            at = left == 0 ? At.TRAILERS : At.DATA;
        } else if (line.isEmpty()) {
            at = At.WHOLE;
        } else if (Grammar.fieldLine(line) != null || ++trailers > MOST_TRAILERS) {
            throw bad("the lines behind the body cannot be read");
        }
    }

    /** The next line, without its end, or null while that has not come. */
    private static String line(Wire wire) throws BadMessage {
        int available = Math.min(wire.available(), LONGEST_LINE);
        for (int i = 0; i < available; i++) {
            byte b = wire.peek(i);
            if (b == '\n') {
                throw bad("a line ends without a carriage return");
            } else if (b == '\r') {
                if (i + 1 >= wire.available()) {
                    return null;
                } else if (wire.peek(i + 1) != '\n') {
                    throw bad("a line holds a carriage return");
                }
                String line = wire.text(0, i);
                wire.skip(i + 2);
                return line;
            }
        }
        if (available == LONGEST_LINE) {
            throw bad("a line is too long");
        }
        return null;
    }

    private static BadMessage bad(String problem) {
        return new BadMessage(UNREADABLE, problem);
    }
}
