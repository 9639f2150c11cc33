package reedmux.message;

import reedmux.http.Grammar;
import reedmux.net.Wire;
import reedmux.routing.HostName;

/** Reads heads to the letter of RFC 9112: what could be read in two ways is refused. */
public final class HeadReader {
    private static final int MOST_HEADERS = 100;
    private static final int UNREADABLE = 400;
    private static final int TOO_LARGE = 431;
    private static final int LONGEST_LENGTH = 15;
    private final boolean requests;
    /** How far the bytes that have come in were looked through for the end of the head. */
    private int looked;

    public HeadReader(boolean requests) {
        this.requests = requests;
    }

    /** The next head, or null while it is not whole. */
    public Head read(Wire wire, int most) throws BadMessage {
        if (requests && looked == 0 && wire.available() >= 2 && wire.peek(0) == '\r' && wire.peek(1) == '\n') {
            wire.skip(2); // RFC 9112, section 2.2: one empty line before a request is passed over
        }
        int available = wire.available();
        int end = -1;
        for (int i = Math.max(0, looked - 3); i + 3 < available && end < 0; i++) {
            if (wire.peek(i) == '\r'
                    && wire.peek(i + 1) == '\n'
                    && wire.peek(i + 2) == '\r'
                    && wire.peek(i + 3) == '\n') {
                end = i;
            }
        }
        if (end < 0 ? available > most + 3 : end > most) { // the empty line at its end is no part of it
            throw new BadMessage(TOO_LARGE, "the head is too large");
        } else if (end < 0) {
            looked = available;
            return null;
        }
        looked = 0;
        String[] lines = wire.text(0, end).split("\r\n", -1);
        wire.skip(end + 4);
        return parse(lines);
    }

    private Head parse(String[] lines) throws BadMessage {
        Head head = requests ? requestLine(lines[0]) : statusLine(lines[0]);
        if (lines.length > MOST_HEADERS + 1) {
            throw new BadMessage(TOO_LARGE, "the head has too many lines");
        }
        for (int i = 1; i < lines.length; i++) {
            String problem = Grammar.fieldLine(lines[i]);
            if (problem != null) {
                throw bad(problem);
            }
            int colon = lines[i].indexOf(':');
            head.add(lines[i].substring(0, colon), lines[i].substring(colon + 1).strip());
        }
        return checked(head);
    }

    private static Head requestLine(String line) throws BadMessage {
        String problem = Grammar.requestLine(line);
        if (problem != null) {
            throw bad(problem);
        }
        String[] parts = line.split(" ");
        if (!parts[2].startsWith("HTTP/1.") || !parts[1].startsWith("/") || parts[1].indexOf('#') >= 0) {
            throw bad("the target is no path, or the version none that is spoken here");
        }
        return Head.request(parts[0], parts[1]).version(parts[2]);
    }

    private static Head statusLine(String line) throws BadMessage {
        if (!line.startsWith("HTTP/1.") || line.length() < 12 || line.charAt(8) != ' ') {
            throw bad("what came is no answer");
        }
        int status = 0;
        for (int i = 9; i < 12; i++) {
            int digit = line.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw bad("what came is no answer");
            }
            status = status * 10 + digit;
        }
        if (status < 100 || line.length() > 12 && line.charAt(12) != ' ') {
            throw bad("what came is no answer");
        }
        return Head.answer(status).version(line.substring(0, 8));
    }

    private Head checked(Head head) throws BadMessage {
        int lengths = head.count("Content-Length");
        int codings = head.count("Transfer-Encoding");
        if (lengths + codings > 1 || codings > 0 && head.old()) {
            throw bad("the body's length is told in two ways");
        } else if (codings > 0 && !head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            throw bad("Transfer-Encoding is not chunked");
        } else if (lengths > 0 && !isLength(head.get("Content-Length"))) {
            throw bad("Content-Length is not a whole number");
        }
        if (requests) {
            String host = head.get("Host");
            if (head.count("Host") > 1
                    || host != null && !host.isEmpty() && HostName.end(host) == HostName.BAD
                    || host == null && !head.old()) {
                throw bad("the host is missing, told twice or cannot be read");
            }
        }
        return head;
    }

    private static boolean isLength(String value) {
        return !value.isEmpty()
                && value.length() <= LONGEST_LENGTH
                && value.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static BadMessage bad(String problem) {
        return new BadMessage(UNREADABLE, problem);
    }
}
