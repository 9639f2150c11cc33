package reedmux.gatekeeper.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * Parses the requests of one listener and converts answers into responses. {@link ConsumerServer} handles the
 * connections, in the same way for all listeners. Methods are called on the I/O thread; {@link #toResponse} is also
 * called on the event loop.
 */
public interface RequestFrontend {

    /** Returns the time of the process's monotonic clock, in microseconds. */
    long now();

    /**
     * Returns the maximum size of a request body in bytes; a body larger than {@link
     * HttpTransport#MAX_BUFFERED_BODY_BYTES} is streamed.
     */
    default long maxBodyBytes() {
        return HttpTransport.MAX_STREAMED_BODY_BYTES;
    }

    /**
     * Parses a request whose target is in origin form.
     *
     * @param body       body of the request; a streamed one may be incomplete
     * @param receivedAt time of the process's monotonic clock, in microseconds
     * @param answerSink receives the answer to the request
     */
    ParsedRequest parse(HttpRequest request, RequestBody body, long receivedAt, Invocation.AnswerSink answerSink);

    /** Converts the answer to a request into a response. */
    default GatewayResponse toResponse(FinalAnswer answer) {
        return GatewayResponse.of(answer);
    }

    /** Whether responses carry a header with the time that this gateway took to process the request. */
    default boolean reportsProcessingTime() {
        return false;
    }

    /**
     * The result of parsing a request: an invocation or a rejection.
     *
     * @param invocation       null if the request is rejected
     * @param event            first event of the invocation; it and all later events are sent to {@code eventSink}
     * @param rejection        null if the request is not rejected
     * @param closesConnection whether the connection is no longer read after the rejection
     * @param intakeLimiter    limiter of the connection's next request, or null
     * @param classMetrics     metrics that count the request, or null
     */
    record ParsedRequest(
            Invocation invocation,
            ReducerEvent event,
            Consumer<ReducerEvent> eventSink,
            GatewayResponse rejection,
            boolean closesConnection,
            IntakeLimiter intakeLimiter,
            Metrics.ClassMetrics classMetrics) {

        static ParsedRequest of(Invocation invocation, ReducerEvent event, Consumer<ReducerEvent> eventSink) {
            return new ParsedRequest(invocation, event, eventSink, null, false, null, null);
        }

        /** Returns a rejection, which is sent immediately. */
        public static ParsedRequest rejected(GatewayResponse rejection) {
            return new ParsedRequest(null, null, null, rejection, false, null, null);
        }

        /** Returns a rejection, which is sent immediately and after which the connection is no longer read. */
        public static ParsedRequest rejectedAndClosed(int status, String problem) {
            return new ParsedRequest(null, null, null, GatewayResponse.text(status, problem), true, null, null);
        }

        /** Returns a copy with a limiter of the connection's next request. */
        public ParsedRequest withIntakeLimiter(IntakeLimiter limiter) {
            return new ParsedRequest(invocation, event, eventSink, rejection, closesConnection, limiter, classMetrics);
        }

        /** Returns a copy with the metrics that count the request. */
        ParsedRequest withMetrics(Metrics.ClassMetrics metrics) {
            return new ParsedRequest(invocation, event, eventSink, rejection, closesConnection, intakeLimiter, metrics);
        }
    }

    /**
     * A response to a consumer or to another region.
     *
     * @param retryAfterMicros suggested retry delay in microseconds; negative for none
     * @param neverRan         whether the request certainly did not run
     * @param bodyStream       the body if it is streamed, otherwise null
     */
    record GatewayResponse(
            int status,
            String contentType,
            byte[] body,
            long retryAfterMicros,
            boolean neverRan,
            BodyStream bodyStream) {
        private static final long NO_RETRY_AFTER = -1;

        /** Returns the response to a consumer for the answer to its request. */
        public static GatewayResponse of(FinalAnswer answer) {
            if (answer instanceof FinalAnswer.Served served) {
                BodyStream stream = (BodyStream) served.result().remainingBody();
                return new GatewayResponse(
                        200, served.result().contentType(), served.result().body(), NO_RETRY_AFTER, false, stream);
            } else if (answer instanceof FinalAnswer.Rejected rejected) {
                return text(rejected.attempted() ? 503 : 429, "rejected", rejected.retryAfter(), false);
            }
            boolean deadlineExceeded = ((FinalAnswer.Failed) answer).deadlineExceeded();
            return text(deadlineExceeded ? 504 : 502, deadlineExceeded ? "no answer in time" : "failed");
        }

        /** Returns a response with one line of text. */
        public static GatewayResponse text(int status, String line, long retryAfterMicros, boolean neverRan) {
            byte[] body = (line + '\n').getBytes(StandardCharsets.UTF_8);
            return new GatewayResponse(status, "text/plain", body, retryAfterMicros, neverRan, null);
        }

        /** Returns a response with one line of text and without a retry delay. */
        public static GatewayResponse text(int status, String line) {
            return text(status, line, NO_RETRY_AFTER, false);
        }
    }
}
