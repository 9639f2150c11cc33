package reedmux.http;

/**
 * The body of a request: whole, or still on its way where {@code flow} is not null.
 *
 * @param bytes nothing where it flows
 */
public record Content(byte[] bytes, Flow flow) {

    public static Content whole(byte[] bytes) {
        return new Content(bytes, null);
    }
}
