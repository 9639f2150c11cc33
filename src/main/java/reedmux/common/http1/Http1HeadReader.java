package reedmux.common.http1;

import reedmux.common.eventloop.Connection;

/**
 * Reads the heads of the messages of one connection strictly by RFC 9112. A connection keeps the same reader for its
 * whole lifetime, because the reader remembers how far it has scanned an incomplete head. All methods must be called on
 * the reactor's thread.
 */
public final class Http1HeadReader {
    private static final int MAX_FIELDS = 100;
    private static final int BAD_REQUEST = 400;
    private static final int FIELDS_TOO_LARGE = 431;
    private static final int MAX_CONTENT_LENGTH_DIGITS = 15;
    /** The length of the two line terminators at the end of a head. */
    private static final int HEAD_END_BYTES = 4;

    private final boolean readsRequests;
    /** The number of input bytes that were scanned without finding the end of the head. */
    private int scannedBytes;

    /** Creates a reader of request heads if {@code readsRequests}, else of response heads. */
    public Http1HeadReader(boolean readsRequests) {
        this.readsRequests = readsRequests;
    }

    /**
     * Consumes the next head from the input of a connection.
     *
     * @param maxBytes the maximum size of the head, not counting the empty line that ends it
     * @return the head, or null while it is incomplete
     * @throws MalformedMessageException if the head is too large or violates the grammar; the boundaries of later
     *                                   messages are then unknown
     */
    public Http1Head read(Connection connection, int maxBytes) throws MalformedMessageException {
        if (readsRequests && scannedBytes == 0) {
            skipEmptyLine(connection);
        }
        int available = connection.available();
        int end = findHeadEnd(connection, available);
        if (end < 0 ? available - HEAD_END_BYTES >= maxBytes : end > maxBytes) {
            throw new MalformedMessageException(FIELDS_TOO_LARGE, "the head is too large");
        } else if (end < 0) {
            scannedBytes = available;
            return null;
        }
        scannedBytes = 0;
        String[] lines = connection.peekText(0, end).split("\r\n", -1);
        connection.skip(end + HEAD_END_BYTES);
        return parse(lines);
    }

    /** Skips an empty line before a request, as RFC 9112, section 2.2, recommends. */
    private static void skipEmptyLine(Connection connection) {
        if (connection.available() >= 2 && connection.peek(0) == '\r' && connection.peek(1) == '\n') {
            connection.skip(2);
        }
    }

    /** Returns the offset of the two line terminators that end the head, or -1 if they have not arrived. */
    private int findHeadEnd(Connection connection, int available) {
        for (int i = Math.max(0, scannedBytes - HEAD_END_BYTES + 1); i + HEAD_END_BYTES <= available; i++) {
            if (connection.peek(i) == '\r'
                    && connection.peek(i + 1) == '\n'
                    && connection.peek(i + 2) == '\r'
                    && connection.peek(i + 3) == '\n') {
                return i;
            }
        }
        return -1;
    }

    private Http1Head parse(String[] lines) throws MalformedMessageException {
        Http1Head head = readsRequests ? parseRequestLine(lines[0]) : parseStatusLine(lines[0]);
        if (lines.length > MAX_FIELDS + 1) {
            throw new MalformedMessageException(FIELDS_TOO_LARGE, "the head has too many lines");
        }
        for (int i = 1; i < lines.length; i++) {
            String problem = Http1Grammar.checkFieldLine(lines[i]);
            if (problem != null) {
                throw malformed(problem);
            }
            int colon = lines[i].indexOf(':');
            head.add(lines[i].substring(0, colon), lines[i].substring(colon + 1).strip());
        }
        return checkFraming(head);
    }

    private static Http1Head parseRequestLine(String line) throws MalformedMessageException {
        String problem = Http1Grammar.checkRequestLine(line);
        if (problem != null) {
            throw malformed(problem);
        }
        String[] parts = line.split(" ");
        if (!parts[2].startsWith("HTTP/1.") || !parts[1].startsWith("/") || parts[1].indexOf('#') >= 0) {
            throw malformed("the target is no path, or the version none that is spoken here");
        }
        return Http1Head.request(parts[0], parts[1]).setVersion(parts[2]);
    }

    private static Http1Head parseStatusLine(String line) throws MalformedMessageException {
        if (!line.startsWith("HTTP/1.") || line.length() < 12 || line.charAt(8) != ' ') {
            throw malformed("what came is no answer");
        }
        int status = 0; // the three digits after "HTTP/1.x "
        for (int i = 9; i < 12; i++) {
            int digit = line.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw malformed("what came is no answer");
            }
            status = status * 10 + digit;
        }
        if (status < 100 || line.length() > 12 && line.charAt(12) != ' ') {
            throw malformed("what came is no answer");
        }
        return Http1Head.response(status).setVersion(line.substring(0, 8));
    }

    /** Rejects a head whose body length or host is ambiguous (RFC 9112, sections 3.2 and 6). */
    private Http1Head checkFraming(Http1Head head) throws MalformedMessageException {
        int lengthFields = head.count("Content-Length");
        int codingFields = head.count("Transfer-Encoding");
        if (lengthFields + codingFields > 1 || codingFields > 0 && head.isHttp10()) {
            throw malformed("the body's length is told in two ways");
        } else if (codingFields > 0 && !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            throw malformed("Transfer-Encoding is not chunked");
        } else if (lengthFields > 0 && !Http1Grammar.isDecimal(head.get("Content-Length"), MAX_CONTENT_LENGTH_DIGITS)) {
            throw malformed("Content-Length is not a whole number");
        }
        if (readsRequests) {
            checkHost(head);
        }
        return head;
    }

    private static void checkHost(Http1Head head) throws MalformedMessageException {
        String host = head.get("Host");
        boolean missing = host == null && !head.isHttp10();
        boolean invalid = host != null && !host.isEmpty() && HostName.hostEnd(host) == HostName.INVALID;
        if (missing || invalid || head.count("Host") > 1) {
            throw malformed("the host is missing, told twice or cannot be read");
        }
    }

    private static MalformedMessageException malformed(String problem) {
        return new MalformedMessageException(BAD_REQUEST, problem);
    }
}
