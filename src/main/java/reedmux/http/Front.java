package reedmux.http;

import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.core.Answer;
import reedmux.core.Event;
import reedmux.core.Invocation;

/**
 * What one listener makes of the requests that come in and of their answers. How connections are kept,
 * bounded and ended is the same for all of them and lies in {@link ConsumerServer}.
 */
public interface Front {

    /** Microseconds of the program's clock. */
    long now();

    /** Reads a whole request. */
    Read read(HttpRequest request, byte[] body, long takenAt, Invocation.Reply reply);

    /** The response that an answer becomes. */
    Response response(Answer answer);

    /** Whether a response tells how long we had the request. */
    boolean tellsTime();

    /** A request as it was read: an invocation with the event that tells of it, or a refusal of it. */
    record Read(Invocation invocation, Event event, Response refusal) {

        static Read of(Invocation invocation, Event event) {
            return new Read(invocation, event, null);
        }

        static Read refused(Response refusal) {
            return new Read(null, null, refusal);
        }
    }

    /** A response; {@code retryAfter} in microseconds, below nought for none. */
    record Response(int status, String contentType, byte[] body, long retryAfter, boolean neverRan) {

        static Response text(int status, String line, long retryAfter, boolean neverRan) {
            return new Response(status, "text/plain", (line + '\n').getBytes(StandardCharsets.UTF_8),
                    retryAfter, neverRan);
        }

        static Response text(int status, String line) {
            return text(status, line, -1, false);
        }
    }
}
