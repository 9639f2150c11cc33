package reedmux.gatekeeper.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * What one listener makes of the requests that come in and of their answers. How connections are kept,
 * bounded and ended is the same for all of them and lies in {@link ConsumerServer}.
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

    /** Reads a request, the target of which is in origin form, and the body of which may still come in. */
    ParsedRequest parse(HttpRequest request, RequestBody body, long takenAt, Invocation.AnswerSink reply);

    /** The response that an answer becomes. */
    GatewayResponse toResponse(FinalAnswer answer);

    /** Whether a response tells how long we had the request. */
    boolean reportsProcessingTime();

    /**
     * A request as it was read: an invocation with the event that tells of it and whom all events of it are
     * told, or a refusal of it, which may be the connection's last answer. {@code intake} is null where
     * nothing bounds what the connection's next request may meet, {@code counts} where nobody counts it.
     */
    record ParsedRequest(
            Invocation invocation,
            ReducerEvent event,
            Consumer<ReducerEvent> eventSink,
            GatewayResponse rejection,
            boolean closesConnection,
            IntakeLimiter intakeLimiter,
            Metrics.ClassMetrics classMetrics) {

        static ParsedRequest of(Invocation invocation, ReducerEvent event, Consumer<ReducerEvent> home) {
            return new ParsedRequest(invocation, event, home, null, false, null, null);
        }

        public static ParsedRequest rejected(GatewayResponse refusal) {
            return new ParsedRequest(null, null, null, refusal, false, null, null);
        }

        /** A refusal after which nothing more is read from the connection. */
        public static ParsedRequest last(int status, String problem) {
            return new ParsedRequest(null, null, null, GatewayResponse.text(status, problem), true, null, null);
        }

        /** The same, of a connection whose further requests come in through this. */
        public ParsedRequest withIntakeLimiter(IntakeLimiter next) {
            return new ParsedRequest(invocation, event, eventSink, rejection, closesConnection, next, classMetrics);
        }

        /** The same, counted there. */
        ParsedRequest withMetrics(Metrics.ClassMetrics there) {
            return new ParsedRequest(invocation, event, eventSink, rejection, closesConnection, intakeLimiter, there);
        }
    }

    /** A response; {@code retryAfter} in microseconds, below nought for none. */
    record GatewayResponse(
            int status,
            String contentType,
            byte[] body,
            long retryAfterMicros,
            boolean neverRan,
            BodyStream bodyStream) {

        public GatewayResponse(int status, String contentType, byte[] body, long retryAfter, boolean neverRan) {
            this(status, contentType, body, retryAfter, neverRan, null);
        }

        /** The response to a consumer. */
        public static GatewayResponse of(FinalAnswer answer) {
            if (answer instanceof FinalAnswer.Served served) {
                return new GatewayResponse(
                        200, served.result().contentType(), served.result().body(), -1, false, (BodyStream)
                                served.result().remainingBody());
            } else if (answer instanceof FinalAnswer.Rejected rejection) {
                return text(rejection.attempted() ? 503 : 429, "rejected", rejection.retryAfter(), false);
            }
            boolean late = ((FinalAnswer.Failed) answer).deadlineExceeded();
            return text(late ? 504 : 502, late ? "no answer in time" : "failed");
        }

        public static GatewayResponse text(int status, String line, long retryAfter, boolean neverRan) {
            return new GatewayResponse(
                    status, "text/plain", (line + '\n').getBytes(StandardCharsets.UTF_8), retryAfter, neverRan);
        }

        public static GatewayResponse text(int status, String line) {
            return text(status, line, -1, false);
        }
    }
}
