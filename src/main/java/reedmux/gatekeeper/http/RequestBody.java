package reedmux.gatekeeper.http;

/**
 * The body of a request, buffered or streamed.
 *
 * @param bytes  empty if it is streamed
 * @param stream null if it is buffered
 */
public record RequestBody(byte[] bytes, BodyStream stream) {

    /** A body that has been received completely. */
    public static RequestBody buffered(byte[] bytes) {
        return new RequestBody(bytes, null);
    }
}
