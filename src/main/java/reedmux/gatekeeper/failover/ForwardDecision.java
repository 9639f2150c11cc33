package reedmux.gatekeeper.failover;

/**
 * The decision about a request that the local providers cannot serve; {@code forwarded} is null if it is not forwarded.
 */
public record ForwardDecision(ForwardedRequest forwarded, ForwardReason reason) {

    /** The reason why a request is or is not forwarded. The log prints counts under these names. */
    public enum ForwardReason {
        /** The request is forwarded. */
        SENT,
        /** No region of last resort is configured. */
        NONE,
        /** Another region sent the request; a request is forwarded at most once. */
        VISITOR,
        /** An earlier attempt may have executed, and the request is not idempotent. */
        MAY_HAVE_RUN,
        /** The request has no attempts left. */
        NO_CALL_LEFT,
        /** Too little time remains until the deadline. */
        NO_TIME,
        /** The maximum number of forwarded requests is in flight. */
        AT_ONCE,
        /** The maximum fraction of forwarded requests is reached. */
        SHARE,
        /** The rate limit for forwarded units is reached. */
        RATE,
        /** All gateways of the other region are ejected or backing off. */
        NO_GATEWAY
    }

    static ForwardDecision reject(ForwardReason reason) {
        return new ForwardDecision(null, reason);
    }
}
