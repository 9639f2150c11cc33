package reedmux.gatekeeper.failover;

/** A visitor that is not taken in: why, and in how many microseconds to come again. */
public record RemoteRejection(RemoteRejectionReason reason, long retryAfterMicros) {

    /** Why a visitor is not taken in. */
    public enum RemoteRejectionReason {
        /** It has been here, or was sent on, which no request ever is. */
        TRAVELLED,
        /** It comes from a region that we take nothing from. */
        STRANGER,
        /** As many as we take in at once are here. */
        FULL,
        /** Their rate is used up. */
        RATE,
        /** Our own consumers are not served as they should be. */
        SUFFERING
    }
}
