package reedmux.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.core.Answer;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.operator.Figures;

/**
 * What one listener makes of the requests that come in and of their answers. How connections are kept,
 * bounded and ended is the same for all of them and lies in {@link ConsumerServer}.
 */
public interface Front {

    /** Microseconds of the program's clock. */
    long now();

    /** Most bytes of a request's body; what is over {@link Transport#MOST_BODY} is read as it comes. */
    default long mostBody() {
        return Transport.MOST_FLOWING;
    }

    /** Reads a request, the target of which is in origin form, and the body of which may still come in. */
    Read read(HttpRequest request, Content body, long takenAt, Invocation.Reply reply);

    /** The response that an answer becomes. */
    Response response(Answer answer);

    /** Whether a response tells how long we had the request. */
    boolean tellsTime();

    /**
     * A request as it was read: an invocation with the event that tells of it and whom all events of it are
     * told, or a refusal of it, which may be the connection's last answer. {@code intake} is null where
     * nothing bounds what the connection's next request may meet, {@code counts} where nobody counts it.
     */
    record Read(
            Invocation invocation,
            Event event,
            Consumer<Event> home,
            Response refusal,
            boolean last,
            Intake intake,
            Figures.OfClass counts) {

        static Read of(Invocation invocation, Event event, Consumer<Event> home) {
            return new Read(invocation, event, home, null, false, null, null);
        }

        public static Read refused(Response refusal) {
            return new Read(null, null, null, refusal, false, null, null);
        }

        /** A refusal after which nothing more is read from the connection. */
        public static Read last(int status, String problem) {
            return new Read(null, null, null, Response.text(status, problem), true, null, null);
        }

        /** The same, of a connection whose further requests come in through this. */
        public Read through(Intake next) {
            return new Read(invocation, event, home, refusal, last, next, counts);
        }

        /** The same, counted there. */
        Read counted(Figures.OfClass there) {
            return new Read(invocation, event, home, refusal, last, intake, there);
        }
    }

    /** A response; {@code retryAfter} in microseconds, below nought for none. */
    record Response(int status, String contentType, byte[] body, long retryAfter, boolean neverRan, Flow rest) {

        public Response(int status, String contentType, byte[] body, long retryAfter, boolean neverRan) {
            this(status, contentType, body, retryAfter, neverRan, null);
        }

        /** The response to a consumer. */
        public static Response of(Answer answer) {
            if (answer instanceof Answer.Served served) {
                return new Response(
                        200, served.result().contentType(), served.result().body(), -1, false, (Flow)
                                served.result().rest());
            } else if (answer instanceof Answer.Rejection rejection) {
                return text(rejection.tried() ? 503 : 429, "rejected", rejection.retryAfter(), false);
            }
            boolean late = ((Answer.Failed) answer).late();
            return text(late ? 504 : 502, late ? "no answer in time" : "failed");
        }

        public static Response text(int status, String line, long retryAfter, boolean neverRan) {
            return new Response(
                    status, "text/plain", (line + '\n').getBytes(StandardCharsets.UTF_8), retryAfter, neverRan);
        }

        public static Response text(int status, String line) {
            return text(status, line, -1, false);
        }
    }
}
