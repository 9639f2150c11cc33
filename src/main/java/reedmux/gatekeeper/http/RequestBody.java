package reedmux.gatekeeper.http;

/**
 * The body of a request, either buffered or streamed.
 *
 * @param bytes  the buffered body; empty if the body is streamed
 * @param stream the streamed body; null if the body is buffered
 */
public record RequestBody(byte[] bytes, BodyStream stream) {

    /** Returns a buffered body, which has been received completely. */
    public static RequestBody buffered(byte[] bytes) {
        return new RequestBody(bytes, null);
    }
}
