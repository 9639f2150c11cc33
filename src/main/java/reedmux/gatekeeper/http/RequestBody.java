package reedmux.gatekeeper.http;

/**
 * The body of a request: whole, or still on its way where {@code stream} is not null.
 *
 * @param bytes nothing where it flows
 */
public record RequestBody(byte[] bytes, BodyStream stream) {

    public static RequestBody buffered(byte[] bytes) {
        return new RequestBody(bytes, null);
    }
}
