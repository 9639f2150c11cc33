package reedmux.gatekeeper.failover;

/** The rejection of a remote request, with the advice when to try again, in microseconds. */
public record RemoteRejection(RemoteRejectionReason reason, long retryAfterMicros) {

    /** Why a remote request is rejected. The log counts by these names. */
    public enum RemoteRejectionReason {
        /** It has passed several regions or our own; a request is forwarded only once. */
        TRAVELLED,
        /** It comes from a region whose requests we do not accept. */
        STRANGER,
        /** As many remote requests as allowed are in flight. */
        FULL,
        /** The rate of remote units is used up. */
        RATE,
        /** Too many of our own consumers' requests fail. */
        SUFFERING
    }
}
