package reedmux.common.http1;

import reedmux.common.eventloop.Connection;

/** Reads heads to the letter of RFC 9112: what could be read in two ways is refused. */
public final class Http1HeadReader {
    private static final int MAX_FIELDS = 100;
    private static final int BAD_REQUEST = 400;
    private static final int FIELDS_TOO_LARGE = 431;
    private static final int MAX_CONTENT_LENGTH_DIGITS = 15;
    private final boolean readsRequests;
    /** How far the bytes that have come in were looked through for the end of the head. */
    private int scannedBytes;

    public Http1HeadReader(boolean requests) {
        this.readsRequests = requests;
    }

    /** The next head, or null while it is not whole. */
    public Http1Head read(Connection wire, int most) throws MalformedMessageException {
        if (readsRequests
                && scannedBytes == 0
                && wire.available() >= 2
                && wire.peek(0) == '\r'
                && wire.peek(1) == '\n') {
            wire.skip(2); // RFC 9112, section 2.2: one empty line before a request is passed over
        }
        int available = wire.available();
        int end = -1;
        for (int i = Math.max(0, scannedBytes - 3); i + 3 < available && end < 0; i++) {
            if (wire.peek(i) == '\r'
                    && wire.peek(i + 1) == '\n'
                    && wire.peek(i + 2) == '\r'
                    && wire.peek(i + 3) == '\n') {
                end = i;
            }
        }
        if (end < 0 ? available > most + 3 : end > most) { // the empty line at its end is no part of it
            throw new MalformedMessageException(FIELDS_TOO_LARGE, "the head is too large");
        } else if (end < 0) {
            scannedBytes = available;
            return null;
        }
        scannedBytes = 0;
        String[] lines = wire.peekText(0, end).split("\r\n", -1);
        wire.skip(end + 4);
        return parse(lines);
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
        return Http1Head.request(parts[0], parts[1]).version(parts[2]);
    }

    private static Http1Head parseStatusLine(String line) throws MalformedMessageException {
        if (!line.startsWith("HTTP/1.") || line.length() < 12 || line.charAt(8) != ' ') {
            throw malformed("what came is no answer");
        }
        int status = 0;
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
        return Http1Head.response(status).version(line.substring(0, 8));
    }

    private Http1Head checkFraming(Http1Head head) throws MalformedMessageException {
        int lengths = head.count("Content-Length");
        int codings = head.count("Transfer-Encoding");
        if (lengths + codings > 1 || codings > 0 && head.isHttp10()) {
            throw malformed("the body's length is told in two ways");
        } else if (codings > 0 && !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            throw malformed("Transfer-Encoding is not chunked");
        } else if (lengths > 0 && !isContentLength(head.get("Content-Length"))) {
            throw malformed("Content-Length is not a whole number");
        }
        if (readsRequests) {
            String host = head.get("Host");
            if (head.count("Host") > 1
                    || host != null && !host.isEmpty() && HostName.hostEnd(host) == HostName.INVALID
                    || host == null && !head.isHttp10()) {
                throw malformed("the host is missing, told twice or cannot be read");
            }
        }
        return head;
    }

    private static boolean isContentLength(String value) {
        return !value.isEmpty()
                && value.length() <= MAX_CONTENT_LENGTH_DIGITS
                && value.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static MalformedMessageException malformed(String problem) {
        return new MalformedMessageException(BAD_REQUEST, problem);
    }
}
