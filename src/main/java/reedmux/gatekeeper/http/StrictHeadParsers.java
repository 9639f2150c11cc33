package reedmux.gatekeeper.http;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.ServerSupport;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import reedmux.common.http1.HostName;
import reedmux.common.http1.Http1Grammar;

/**
 * Strict variants of the library's parsers of message heads. The library accepts a head that is truncated by the end of
 * the connection, chooses one of two conflicting body lengths, and parses the input after a body that it could not
 * delimit as the next message. Each of these permits request smuggling.
 */
final class StrictHeadParsers {
    private static final DefaultHttpRequestParserFactory REQUEST_PARSERS =
            new DefaultHttpRequestParserFactory(HttpTransport.HTTP1_CONFIG, new RawTargetRequestFactory(), null);
    private static final DefaultHttpResponseParserFactory RESPONSE_PARSERS =
            new DefaultHttpResponseParserFactory(HttpTransport.HTTP1_CONFIG);
    private static final int MAX_CONTENT_LENGTH_DIGITS = 18;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_HEADERS_TOO_LARGE = 431;

    private StrictHeadParsers() {}

    /**
     * Returns a request whose path is the target exactly as received. The library's own constructor would interpret
     * {@code //a/b} as the path {@code /b} on host a, drop fragments, and add a path to a target that has none.
     */
    static HttpRequest requestWithRawTarget(String method, String target) {
        return new BasicHttpRequest(method, (HttpHost) null, target);
    }

    private static final class RawTargetRequestFactory implements HttpRequestFactory<HttpRequest> {
        @Override
        public HttpRequest newHttpRequest(String method, String target) {
            return requestWithRawTarget(method, target);
        }

        @Override
        public HttpRequest newHttpRequest(String method, URI target) {
            return requestWithRawTarget(method, target.toString());
        }
    }

    /** Returns the error in the headers that delimit the body or in the names of headers, or null if there is none. */
    private static String findFramingError(HttpMessage message) {
        int lengths = 0;
        int codings = 0;
        for (Iterator<Header> headers = message.headerIterator(); headers.hasNext(); ) {
            Header header = headers.next();
            String name = header.getName();
            if (!Http1Grammar.isToken(name, 0, name.length())) {
                return "a header's name holds a character that has no place there";
            }
            if (name.equalsIgnoreCase("Content-Length")) {
                lengths++;
                if (!isContentLength(header.getValue())) {
                    return "Content-Length is not a whole number";
                }
            } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
                codings++;
                if (!header.getValue().equalsIgnoreCase("chunked")) {
                    return "Transfer-Encoding is not chunked";
                }
            }
        }
        boolean http10 = message.getVersion() != null && message.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        return lengths + codings > 1
                ? "the body's length is told more than once"
                : codings > 0 && http10 ? "Transfer-Encoding is not of this version" : null;
    }

    /**
     * Returns an error unless the request has a single, unambiguous host (RFC 9112, section 3.2), otherwise null. A
     * missing or empty host is accepted, since the platform's own consumers do not send one.
     */
    private static String findHostError(HttpRequest request) {
        int hosts = request.countHeaders("Host");
        Header host = hosts == 0 ? null : request.getFirstHeader("Host");
        return hosts > 1
                ? "the host is told more than once"
                : host != null && !host.getValue().isEmpty() && HostName.hostEnd(host.getValue()) == HostName.INVALID
                        ? "the host cannot be read"
                        : null;
    }

    private static boolean isContentLength(String value) {
        boolean valid = !value.isEmpty() && value.length() <= MAX_CONTENT_LENGTH_DIGITS;
        for (int i = 0; valid && i < value.length(); i++) {
            valid = value.charAt(i) >= '0' && value.charAt(i) <= '9';
        }
        return valid;
    }

    private static void discard(SessionInputBuffer input) {
        if (input.hasData()) {
            input.read(ByteBuffer.allocate(input.length()));
        }
    }

    /**
     * Parses the heads of a consumer's requests. The first malformed head is replaced by a dummy request, so that it
     * can be rejected; nothing after it is read, since the start of the next request cannot be determined.
     */
    static final class StrictRequestParser implements NHttpMessageParser<HttpRequest> {
        private final NHttpMessageParser<HttpRequest> parser = REQUEST_PARSERS.create();
        private final LineCheckingBuffer.HeadLineChecker lineChecker = new LineCheckingBuffer.HeadLineChecker();
        private boolean stopped;
        private int errorStatus = STATUS_BAD_REQUEST;
        private String error;

        /** Makes the parser discard all further input. */
        void stop() {
            stopped = true;
        }

        boolean isStopped() {
            return stopped;
        }

        /** Returns the error in the malformed head, or null. */
        String error() {
            return error;
        }

        int errorStatus() {
            return errorStatus;
        }

        @Override
        public void reset() {
            parser.reset();
            lineChecker.reset();
        }

        @Override
        public HttpRequest parse(SessionInputBuffer input, boolean endOfStream) {
            if (stopped) {
                discard(input);
                return null;
            }
            HttpRequest request = null;
            try {
                request = parser.parse(lineChecker.wrap(input), false);
                error = request == null ? null : StrictHeadParsers.findFramingError(request);
                if (error == null && request != null) {
                    error = findHostError(request);
                }
            } catch (LineCheckingBuffer.HeadLineChecker.MalformedLineException e) {
                error = e.getMessage();
            } catch (HttpException e) {
                errorStatus = ServerSupport.toStatusCode(e);
                error = errorStatus == STATUS_HEADERS_TOO_LARGE ? "the head is too large" : "the head cannot be read";
            } catch (IOException e) {
                error = "the head cannot be read";
            }
            if (error == null) {
                if (endOfStream && request == null) {
                    discard(input); // an incomplete head would keep the connection open
                }
                return request;
            }
            stopped = true;
            discard(input);
            return new BasicHttpRequest("GET", "/");
        }
    }

    /** Whether the end of the connection delimits the body (RFC 9112, section 6.3). */
    private static boolean endsWithConnection(HttpResponse response) {
        for (Iterator<Header> headers = response.headerIterator("Connection"); headers.hasNext(); ) {
            for (String token : headers.next().getValue().split(",")) {
                if (token.trim().equalsIgnoreCase("close")) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Parses the heads of responses; a malformed or unsolicited response terminates the connection. */
    static final class StrictResponseParser implements NHttpMessageParser<HttpResponse> {
        private static final int MAX_STATUS = 599;
        private final NHttpMessageParser<HttpResponse> parser = RESPONSE_PARSERS.create();
        private final BooleanSupplier responseExpected;
        private boolean inputEnded;

        /** Creates a parser; {@code responseExpected} returns whether a request is waiting for its response. */
        StrictResponseParser(BooleanSupplier responseExpected) {
            this.responseExpected = responseExpected;
        }

        /** Whether the end of the input has been read. */
        boolean hasInputEnded() {
            return inputEnded;
        }

        @Override
        public void reset() {
            parser.reset();
        }

        @Override
        public HttpResponse parse(SessionInputBuffer input, boolean endOfStream) throws IOException, HttpException {
            inputEnded |= endOfStream;
            if (!responseExpected.getAsBoolean()) {
                if (input.hasData()) {
                    throw new ProtocolException("received bytes that belong to no response");
                }
                return null;
            }
            HttpResponse response = parser.parse(input, false);
            if (response == null) {
                return null;
            }
            String problem = findFramingError(response);
            if (problem == null && response.getCode() > MAX_STATUS) {
                problem = "the response has an invalid status";
            }
            // Without a length only the end of the connection would delimit the body. A broken connection looks the
            // same, so a truncated response would be forwarded as a complete one.
            if (problem == null
                    && response.getCode() >= 200
                    && !response.containsHeader("Content-Length")
                    && !response.containsHeader("Transfer-Encoding")
                    && !endsWithConnection(response)) {
                problem = "the response does not declare its length";
            }
            if (problem != null) {
                throw new ProtocolException(problem);
            }
            return response;
        }
    }
}
