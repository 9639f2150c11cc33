package reedmux.gatekeeper.reducer;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** How a call to a provider or to another region ended. Times are in microseconds. */
public sealed interface CallResult {
    /** The status of an answer without fault. */
    int OK_STATUS = 200;
    /** The status of a provider that is overloaded, where it vouches that it did nothing. */
    int UNAVAILABLE_STATUS = 503;
    /** The status of a provider or another region whose time ran out. */
    int TIMEOUT_STATUS = 504;

    /** How far a call had come when its connection broke. */
    enum CallStage {
        CONNECTING,
        WRITING,
        AWAITING_RESPONSE,
        RECEIVING_RESPONSE
    }

    /** The body of an answer that is still coming in; only the protocol that made it looks inside. */
    interface RemainingBody {

        /** Bytes of the complete body; -1 where the head does not say. */
        long length();
    }

    /**
     * A complete answer, or the head of one.
     *
     * @param neverRan      whether the provider vouches that it did nothing
     * @param remoteElapsed how long another region had the request; -1 where it does not say
     * @param retryAfter    when another region wants it again; -1 where it does not say
     * @param remainingBody the body that is still coming, or null for a complete answer
     * @param bodyElapsed   how long after the head the last byte came: who writes slowly is not who has much to do
     */
    record ResponseReceived(
            int status,
            boolean neverRan,
            String contentType,
            byte[] body,
            long remoteElapsed,
            long retryAfter,
            RemainingBody remainingBody,
            long bodyElapsed)
            implements CallResult {

        /** A complete answer of another region. */
        public ResponseReceived(
                int status, boolean neverRan, String contentType, byte[] body, long remoteElapsed, long retryAfter) {
            this(status, neverRan, contentType, body, remoteElapsed, retryAfter, null, 0);
        }

        /** A provider's complete answer. */
        public ResponseReceived(int status, boolean neverRan, String contentType, byte[] body) {
            this(status, neverRan, contentType, body, -1, -1);
        }
    }

    /** No complete answer: the connection broke, was refused or was closed by us. */
    record ConnectionBroken(CallStage stage, String reason) implements CallResult {}

    /** The outcome in the policy's terms; nothing but a complete answer or an unfinished write proves much. */
    default AttemptOutcome outcome() {
        if (this instanceof ResponseReceived response) {
            int status = response.status();
            if (status == OK_STATUS) {
                return AttemptOutcome.OK;
            }
            boolean overloaded = status == UNAVAILABLE_STATUS || status == TIMEOUT_STATUS;
            return overloaded && response.neverRan() ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
        }
        CallStage stage = ((ConnectionBroken) this).stage();
        return stage == CallStage.CONNECTING || stage == CallStage.WRITING
                ? AttemptOutcome.CONNECT_FAILED
                : AttemptOutcome.RESET;
    }
}
