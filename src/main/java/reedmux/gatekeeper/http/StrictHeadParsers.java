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
 * Strict variants of the library's parsers of heads. The library itself takes a head that the end of the connection
 * truncated for a complete one, prefers one of two contradicting lengths, and reads what follows a body that it could
 * not delimit as the next message: each of these allows request smuggling.
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
     * A request whose path is the target as it was received. The library's own would take {@code //a/b} for the path
     * {@code /b} of the host a, drop fragments, and invent a path where there is none.
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

    /** What is wrong with the headers that delimit the body, or with the headers' names; null if nothing is. */
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
     * RFC 9112, section 3.2: a single host that is not ambiguous. A missing or empty one is accepted, since the
     * platform's own consumers send none.
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
     * Parses the heads of a consumer's requests. The first malformed one becomes a dummy request, so that it can be
     * rejected; nothing after it is read, since nobody can tell where the next request would begin.
     */
    static final class StrictRequestParser implements NHttpMessageParser<HttpRequest> {
        private final NHttpMessageParser<HttpRequest> parser = REQUEST_PARSERS.create();
        private final LineCheckingBuffer.HeadLineChecker lineChecker = new LineCheckingBuffer.HeadLineChecker();
        private boolean stopped;
        private int errorStatus = STATUS_BAD_REQUEST;
        private String error;

        /** Discards all further input. */
        void stop() {
            stopped = true;
        }

        boolean isStopped() {
            return stopped;
        }

        /** What is wrong with the malformed head, or null. */
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

    /** Whether the end of the connection delimits the body, RFC 9112, section 6.3. */
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

    /** Parses the heads of responses; a malformed or unsolicited one ends the connection. */
    static final class StrictResponseParser implements NHttpMessageParser<HttpResponse> {
        private static final int MAX_STATUS = 599;
        private final NHttpMessageParser<HttpResponse> parser = RESPONSE_PARSERS.create();
        private final BooleanSupplier responseExpected;
        private boolean inputEnded;

        /** A parser; {@code responseExpected} says whether a request is waiting for its response. */
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
                    throw new ProtocolException("bytes that belong to no answer");
                }
                return null;
            }
            HttpResponse response = parser.parse(input, false);
            if (response == null) {
                return null;
            }
            String problem = findFramingError(response);
            if (problem == null && response.getCode() > MAX_STATUS) {
                problem = "there is no such status";
            }
            // Without a length only the end of the connection would delimit the body, and a broken connection looks
            // the same: a truncated response would be forwarded as a complete one.
            if (problem == null
                    && response.getCode() >= 200
                    && !response.containsHeader("Content-Length")
                    && !response.containsHeader("Transfer-Encoding")
                    && !endsWithConnection(response)) {
                problem = "the answer does not tell its length";
            }
            if (problem != null) {
                throw new ProtocolException(problem);
            }
            return response;
        }
    }
}
