package reedmux.common.http1;

import reedmux.common.eventloop.Connection;

/**
 * Reads the body of one message from a connection. The head of the message determines whether the body has a length or
 * is chunked (RFC 9112, sections 6 and 7.1). The reader of a chunked body passes through the states chunk size, data
 * and chunk end for each chunk, and reads the trailers after the last one. Trailers are validated and discarded. All
 * methods must be called on the reactor's thread.
 */
public final class Http1BodyReader {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_TRAILERS = 32;
    private static final int BAD_REQUEST = 400;
    /** The size limit of the arrays passed to the sink. */
    private static final int MAX_READ_BYTES = 64 * 1024;

    /** Receives the bytes of a body in order. */
    public interface BodySink {
        /** Called with the next bytes of the body; the sink takes ownership of the array. */
        void onBytes(byte[] bytes);
    }

    private enum BodyState {
        CHUNK_SIZE,
        DATA,
        CHUNK_END,
        TRAILERS,
        COMPLETE
    }

    /** The value of Content-Length, or -1 for a chunked body. */
    private final long declaredLength;

    private BodyState state;
    private long remaining;
    private int trailers;
    private long bytesRead;

    private Http1BodyReader(long declaredLength) {
        this.declaredLength = declaredLength;
        remaining = Math.max(0, declaredLength);
        if (declaredLength < 0) {
            state = BodyState.CHUNK_SIZE;
        } else {
            state = declaredLength == 0 ? BodyState.COMPLETE : BodyState.DATA;
        }
    }

    /** Creates a reader for a request body, which is empty without Content-Length and Transfer-Encoding. */
    public static Http1BodyReader ofRequest(Http1Head head) {
        return of(head);
    }

    /**
     * Creates a reader for a response body.
     *
     * @param method the method of the request
     * @return the reader, or null if the body would be delimited only by the end of the connection, because then a
     *         truncated body could not be distinguished from a complete one
     */
    public static Http1BodyReader ofResponse(Http1Head head, String method) {
        int status = head.status();
        if (method.equals("HEAD") || status == 204 || status == 304) {
            return new Http1BodyReader(0);
        }
        return head.count("Content-Length") + head.count("Transfer-Encoding") == 0 ? null : of(head);
    }

    private static Http1BodyReader of(Http1Head head) {
        if (head.count("Transfer-Encoding") > 0) {
            return new Http1BodyReader(-1);
        }
        String length = head.get("Content-Length");
        return new Http1BodyReader(length == null ? 0 : Long.parseLong(length));
    }

    /** Returns the length of the body in bytes that the head declares, or -1 for a chunked body. */
    public long declaredLength() {
        return declaredLength;
    }

    /** Returns whether the whole body has been read, including the trailers of a chunked body. */
    public boolean isComplete() {
        return state == BodyState.COMPLETE;
    }

    /** Returns the number of body bytes that have been read, not counting the chunk framing. */
    public long bytesRead() {
        return bytesRead;
    }

    /**
     * Consumes the part of the body that has arrived on the connection.
     *
     * @throws MalformedMessageException if the chunked coding is malformed; the boundaries of later messages are then
     *                                   unknown
     */
    public void read(Connection connection, BodySink sink) throws MalformedMessageException {
        while (state != BodyState.COMPLETE) {
            if (state == BodyState.DATA) {
                if (connection.available() == 0) {
                    return;
                }
                readData(connection, sink);
            } else {
                String line = nextLine(connection);
                if (line == null) {
                    return;
                }
                parseLine(line);
            }
        }
    }

    private void readData(Connection connection, BodySink sink) {
        int count = (int) Math.min(Math.min(remaining, MAX_READ_BYTES), connection.available());
        bytesRead += count;
        remaining -= count;
        sink.onBytes(connection.readBytes(count));
        if (remaining == 0) {
            state = declaredLength < 0 ? BodyState.CHUNK_END : BodyState.COMPLETE;
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

    /** Consumes the next line and returns it without its line terminator, or null while the line is incomplete. */
    private static String nextLine(Connection connection) throws MalformedMessageException {
        int available = Math.min(connection.available(), MAX_LINE_BYTES);
        for (int i = 0; i < available; i++) {
            byte b = connection.peek(i);
            if (b == '\n') {
                throw malformed("a line ends without a carriage return");
            } else if (b == '\r') {
                if (i + 1 >= connection.available()) {
                    return null;
                } else if (connection.peek(i + 1) != '\n') {
                    throw malformed("a line holds a carriage return");
                }
                String line = connection.peekText(0, i);
                connection.skip(i + 2);
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
