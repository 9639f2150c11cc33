package reedmux.common.http1;

import reedmux.common.eventloop.Connection;

/** Takes one message's body from a connection, as its head says where it ends. */
public final class Http1BodyReader {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_TRAILERS = 32;
    private static final int BAD_REQUEST = 400;
    /** Most bytes taken at once. */
    private static final int MAX_READ_BYTES = 64 * 1024;

    /** Where the bytes go. */
    public interface BodySink {
        void onBytes(byte[] bytes);
    }

    private enum BodyState {
        CHUNK_SIZE,
        DATA,
        CHUNK_END,
        TRAILERS,
        COMPLETE
    }

    /** The length that the head told, or -1 where it comes in chunks. */
    private final long declaredLength;

    private BodyState state;
    private long remaining;
    private int trailers;
    private long bytesRead;

    private Http1BodyReader(long length) {
        this.declaredLength = length;
        remaining = Math.max(0, length);
        state = length < 0 ? BodyState.CHUNK_SIZE : length == 0 ? BodyState.COMPLETE : BodyState.DATA;
    }

    public static Http1BodyReader ofRequest(Http1Head head) {
        return of(head, 0);
    }

    /**
     * Null where the answer has no end but that of its connection, so that nobody can tell if it is whole.
     */
    public static Http1BodyReader ofResponse(Http1Head head, String method) {
        int status = head.status();
        if (method.equals("HEAD") || status == 204 || status == 304) {
            return new Http1BodyReader(0);
        }
        return head.count("Content-Length") + head.count("Transfer-Encoding") == 0 ? null : of(head, 0);
    }

    private static Http1BodyReader of(Http1Head head, long otherwise) {
        String told = head.get("Content-Length");
        return new Http1BodyReader(
                head.count("Transfer-Encoding") > 0 ? -1 : told == null ? otherwise : Long.parseLong(told));
    }

    /** The length that was told, or -1. */
    public long declaredLength() {
        return declaredLength;
    }

    public boolean isComplete() {
        return state == BodyState.COMPLETE;
    }

    /** Bytes of the body that have come. */
    public long bytesRead() {
        return bytesRead;
    }

    /** Takes what has come in. */
    public void read(Connection wire, BodySink sink) throws MalformedMessageException {
        while (state != BodyState.COMPLETE) {
            if (state == BodyState.DATA) {
                int some = (int) Math.min(Math.min(remaining, MAX_READ_BYTES), wire.available());
                if (some == 0) {
                    return;
                }
                bytesRead += some;
                remaining -= some;
                sink.onBytes(wire.readBytes(some));
                if (remaining == 0) {
                    state = declaredLength < 0 ? BodyState.CHUNK_END : BodyState.COMPLETE;
                }
                continue;
            }
            String line = nextLine(wire);
            if (line == null) {
                return;
            }
            parseLine(line);
        }
    }

    private void parseLine(String line) throws MalformedMessageException {
        if (state == BodyState.CHUNK_END) {
            if (!line.isEmpty()) {
                throw malformed("a chunk is longer than it says");
            }
            state = BodyState.CHUNK_SIZE;
        } else if (state == BodyState.CHUNK_SIZE) {
            String problem = Http1Grammar.checkChunkLine(line);
            if (problem != null) {
                throw malformed(problem);
            }
            remaining = Http1Grammar.parseChunkSize(line);
            state = remaining == 0 ? BodyState.TRAILERS : BodyState.DATA;
        } else if (line.isEmpty()) {
            state = BodyState.COMPLETE;
        } else if (Http1Grammar.checkFieldLine(line) != null || ++trailers > MAX_TRAILERS) {
            throw malformed("the lines behind the body cannot be read");
        }
    }

    /** The next line, without its end, or null while that has not come. */
    private static String nextLine(Connection wire) throws MalformedMessageException {
        int available = Math.min(wire.available(), MAX_LINE_BYTES);
        for (int i = 0; i < available; i++) {
            byte b = wire.peek(i);
            if (b == '\n') {
                throw malformed("a line ends without a carriage return");
            } else if (b == '\r') {
                if (i + 1 >= wire.available()) {
                    return null;
                } else if (wire.peek(i + 1) != '\n') {
                    throw malformed("a line holds a carriage return");
                }
                String line = wire.peekText(0, i);
                wire.skip(i + 2);
                return line;
            }
        }
        if (available == MAX_LINE_BYTES) {
            throw malformed("a line is too long");
        }
        return null;
    }

    private static MalformedMessageException malformed(String problem) {
        return new MalformedMessageException(BAD_REQUEST, problem);
    }
}
