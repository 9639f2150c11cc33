package reedmux.gatekeeper.reducer;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** The result of an upstream call to a provider or to another region. Times are in microseconds. */
public sealed interface CallResult {
    /** The only response status that counts as a success. */
    int OK_STATUS = 200;
    /** Means that the upstream is overloaded, provided that it also states that it did not run the request. */
    int UNAVAILABLE_STATUS = 503;
    /**
     * Means that the provider or the other region timed out. Counts as overload if it also states that it did not run
     * the request.
     */
    int TIMEOUT_STATUS = 504;

    /** The stage that a call had reached when its connection broke. */
    enum CallStage {
        CONNECTING,
        WRITING,
        AWAITING_RESPONSE,
        RECEIVING_RESPONSE
    }

    /** A response body that is still being received. It is opaque to all but the protocol that created it. */
    interface RemainingBody {

        /** Returns the length of the complete body in bytes, or -1 if the response head does not state it. */
        long length();
    }

    /**
     * A complete response, or the head of one whose body is still being received.
     *
     * @param neverRan      whether the upstream states that it did not run the request
     * @param remoteElapsed how long another region spent on the request, or -1 if it does not state it
     * @param retryAfter    the delay after which another region accepts a retry, or -1 if it does not state one
     * @param remainingBody the body that is still being received, or null if the response is complete
     * @param bodyElapsed   the time from the head to the last byte of the body. It is excluded from the latency, since
     *     a provider that writes its response slowly is not necessarily busy
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

        /** Creates a complete response from another region. */
        public ResponseReceived(
                int status, boolean neverRan, String contentType, byte[] body, long remoteElapsed, long retryAfter) {
            this(status, neverRan, contentType, body, remoteElapsed, retryAfter, null, 0);
        }

        /** Creates a complete response from a provider. */
        public ResponseReceived(int status, boolean neverRan, String contentType, byte[] body) {
            this(status, neverRan, contentType, body, -1, -1);
        }
    }

    /** The call ended without a complete response: the connection broke, was refused or was closed by this gateway. */
    record ConnectionBroken(CallStage stage, String reason) implements CallResult {}

    /**
     * Maps this result to the policy's outcome. Only a complete response, or a connection that broke before the whole
     * request was written, is conclusive.
     */
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
