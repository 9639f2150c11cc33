package reedmux.gatekeeper.failover;

/** The rejection of a remote request, and the time in microseconds after which it may be retried. */
public record RemoteRejection(RemoteRejectionReason reason, long retryAfterMicros) {

    /** The reason why a remote request is rejected. The log prints counts under these names. */
    public enum RemoteRejectionReason {
        /** The request has passed through several regions or through this one; a request is forwarded at most once. */
        TRAVELLED,
        /** The request comes from a region whose requests are not accepted. */
        STRANGER,
        /** The maximum number of remote requests is in flight. */
        FULL,
        /** The rate limit for remote units is reached. */
        RATE,
        /** The failure rate of local requests is or recently was too high. */
        SUFFERING
    }
}
