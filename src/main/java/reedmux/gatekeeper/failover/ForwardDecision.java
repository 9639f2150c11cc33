package reedmux.gatekeeper.failover;

/** The decision about a request that our own providers cannot serve; {@code forwarded} is null if it stays. */
public record ForwardDecision(ForwardedRequest forwarded, ForwardReason reason) {

    /** Why a request is forwarded or not. The log counts by these names. */
    public enum ForwardReason {
        /** It is forwarded. */
        SENT,
        /** There is no region of last resort. */
        NONE,
        /** Another region sent it; a request is forwarded only once. */
        VISITOR,
        /** An attempt of it may have run, and it is not idempotent. */
        MAY_HAVE_RUN,
        /** It has no attempt left. */
        NO_CALL_LEFT,
        /** Too little time is left until its deadline. */
        NO_TIME,
        /** The limit of forwarded requests in flight is reached. */
        AT_ONCE,
        /** The fraction of requests that may be forwarded is used up. */
        SHARE,
        /** The rate of units that may be forwarded is used up. */
        RATE,
        /** All gateways are ejected or in backoff. */
        NO_GATEWAY
    }

    static ForwardDecision reject(ForwardReason reason) {
        return new ForwardDecision(null, reason);
    }
}
