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
 * The library's parsers of heads, made strict. On its own the library takes a head that was cut off by the
 * end of the connection for a whole one, prefers one of two contradicting lengths, and reads what it could
 * not frame as the next message; each of these would let one message pass for another.
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
     * A request whose path is the target as it came. The library's own would take {@code //a/b} for the path
     * {@code /b} of a host a, drop fragments, and read a path where there is none.
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

    /** What is wrong with how the end of the message's body is told, or with its headers' names, or null. */
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
        boolean old = message.getVersion() != null && message.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        return lengths + codings > 1
                ? "the body's length is told more than once"
                : codings > 0 && old ? "Transfer-Encoding is not of this version" : null;
    }

    /**
     * RFC 9112, section 3.2: one host, and one that can be read in one way only. A missing or empty one is
     * let pass, as the platform's own consumers are served without.
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
        boolean good = !value.isEmpty() && value.length() <= MAX_CONTENT_LENGTH_DIGITS;
        for (int i = 0; good && i < value.length(); i++) {
            good = value.charAt(i) >= '0' && value.charAt(i) <= '9';
        }
        return good;
    }

    private static void discard(SessionInputBuffer in) {
        if (in.hasData()) {
            in.read(ByteBuffer.allocate(in.length()));
        }
    }

    /**
     * Reads a consumer's heads. The first that cannot be read is handed on as a request that says so, to be
     * told; nothing behind it is read, as nobody can tell where the next request would begin.
     */
    static final class StrictRequestParser implements NHttpMessageParser<HttpRequest> {
        private final NHttpMessageParser<HttpRequest> parser = REQUEST_PARSERS.create();
        private final LineCheckingBuffer.HeadLineChecker lineChecker = new LineCheckingBuffer.HeadLineChecker();
        private boolean stopped;
        private int errorStatus = STATUS_BAD_REQUEST;
        private String error;

        /** From now on whatever comes in is thrown away. */
        void stop() {
            stopped = true;
        }

        boolean isStopped() {
            return stopped;
        }

        /** What was wrong with the head that could not be read, or null. */
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
        public HttpRequest parse(SessionInputBuffer in, boolean endOfStream) {
            if (stopped) {
                discard(in);
                return null;
            }
            HttpRequest request = null;
            try {
                request = parser.parse(lineChecker.wrap(in), false);
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
                    discard(in); // half a request is none, and would keep the connection from ending
                }
                return request;
            }
            stopped = true;
            discard(in);
            return new BasicHttpRequest("GET", "/");
        }
    }

    /** Whether the provider has said that the connection's end is the answer's, RFC 9112, section 6.3. */
    private static boolean endsWithConnection(HttpResponse response) {
        for (Iterator<Header> all = response.headerIterator("Connection"); all.hasNext(); ) {
            for (String token : all.next().getValue().split(",")) {
                if (token.trim().equalsIgnoreCase("close")) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Reads a provider's heads; those that cannot be read, or that nobody asked for, end the connection. */
    static final class StrictResponseParser implements NHttpMessageParser<HttpResponse> {
        private static final int MAX_STATUS = 599;
        private final NHttpMessageParser<HttpResponse> parser = RESPONSE_PARSERS.create();
        private final BooleanSupplier responseExpected;
        private boolean inputEnded;

        /** {@code expected}: whether an answer is due on the connection. */
        StrictResponseParser(BooleanSupplier expected) {
            this.responseExpected = expected;
        }

        /** Whether the provider has ended the connection. */
        boolean hasInputEnded() {
            return inputEnded;
        }

        @Override
        public void reset() {
            parser.reset();
        }

        @Override
        public HttpResponse parse(SessionInputBuffer in, boolean endOfStream) throws IOException, HttpException {
            inputEnded |= endOfStream;
            if (!responseExpected.getAsBoolean()) {
                if (in.hasData()) {
                    throw new ProtocolException("bytes that belong to no answer");
                }
                return null;
            }
            HttpResponse response = parser.parse(in, false);
            if (response == null) {
                return null;
            }
            String problem = findFramingError(response);
            if (problem == null && response.getCode() > MAX_STATUS) {
                problem = "there is no such status";
            }
            // Without a length only the connection's end would tell where the body ends, and a break looks
            // just like it: half an answer would be passed on as a whole one.
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
