package reedmux.gatekeeper.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * Parses the requests of one listener and turns answers into responses. Connections are the same for all listeners and
 * are handled by {@link ConsumerServer}. Called by the I/O thread; {@link #toResponse} also by the event loop.
 */
public interface RequestFrontend {

    /** Microseconds of the program's clock. */
    long now();

    /**
     * Maximum size of a request's body; what exceeds {@link HttpTransport#MAX_BUFFERED_BODY_BYTES} is streamed.
     */
    default long maxBodyBytes() {
        return HttpTransport.MAX_STREAMED_BODY_BYTES;
    }

    /**
     * Parses a request whose target is in origin form.
     *
     * @param body       may still be streamed in
     * @param receivedAt microseconds of the program's clock
     * @param answerSink where the answer to the request goes
     */
    ParsedRequest parse(HttpRequest request, RequestBody body, long receivedAt, Invocation.AnswerSink answerSink);

    /** Turns the answer to a request into a response. */
    default GatewayResponse toResponse(FinalAnswer answer) {
        return GatewayResponse.of(answer);
    }

    /** Whether responses have a header with the time that the request took here. */
    default boolean reportsProcessingTime() {
        return false;
    }

    /**
     * A parsed request: an invocation or a rejection.
     *
     * @param invocation       null if the request is rejected
     * @param event            to be sent to {@code eventSink}, as all later events of the invocation
     * @param rejection        null if the request is not rejected
     * @param closesConnection whether nothing more is read from the connection after the rejection
     * @param intakeLimiter    limits the connection's next request, if not null
     * @param classMetrics     counts the request, if not null
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

        /** A request that is answered at once. */
        public static ParsedRequest rejected(GatewayResponse rejection) {
            return new ParsedRequest(null, null, null, rejection, false, null, null);
        }

        /** A request that is answered at once, after which nothing more is read from the connection. */
        public static ParsedRequest rejectedAndClosed(int status, String problem) {
            return new ParsedRequest(null, null, null, GatewayResponse.text(status, problem), true, null, null);
        }

        /** The same, with a limiter of the connection's next request. */
        public ParsedRequest withIntakeLimiter(IntakeLimiter limiter) {
            return new ParsedRequest(invocation, event, eventSink, rejection, closesConnection, limiter, classMetrics);
        }

        /** The same, with the metrics that count it. */
        ParsedRequest withMetrics(Metrics.ClassMetrics metrics) {
            return new ParsedRequest(invocation, event, eventSink, rejection, closesConnection, intakeLimiter, metrics);
        }
    }

    /**
     * A response.
     *
     * @param retryAfterMicros negative for none
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

        /** The response to a consumer. */
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

        /** A response with one line of text. */
        public static GatewayResponse text(int status, String line, long retryAfterMicros, boolean neverRan) {
            byte[] body = (line + '\n').getBytes(StandardCharsets.UTF_8);
            return new GatewayResponse(status, "text/plain", body, retryAfterMicros, neverRan, null);
        }

        /** A response with one line of text and no advice when to retry. */
        public static GatewayResponse text(int status, String line) {
            return text(status, line, NO_RETRY_AFTER, false);
        }
    }
}
