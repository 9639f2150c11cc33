package reedmux.gatekeeper.reducer;

import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** How an invoker call ended: a value, with how far the call had come. */
public sealed interface CallResult {

    /** How far a call had come when it ended. */
    enum CallStage {
        CONNECTING,
        WRITING,
        ON_WIRE,
        ANSWERING
    }

    /** The body of an answer that is still coming in; only the protocol that made it looks inside. */
    interface RemainingBody {

        /** Bytes of the whole body, -1 where that is not told. */
        long length();
    }

    /**
     * A whole answer, or the beginning of one where {@code rest} is not null; {@code neverRan} when the
     * provider vouches that it did nothing. Another region also tells how long it had the request and when to
     * come again, both in microseconds, -1 where not told. {@code bodyTook} is how long after its head the
     * last byte came, in microseconds: a peer that writes slowly is not one that has much to do.
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

        /** A whole answer. */
        public ResponseReceived(
                int status, boolean neverRan, String contentType, byte[] body, long took, long retryAfter) {
            this(status, neverRan, contentType, body, took, retryAfter, null, 0);
        }

        /** A provider's answer. */
        public ResponseReceived(int status, boolean neverRan, String contentType, byte[] body) {
            this(status, neverRan, contentType, body, -1, -1);
        }
    }

    /** No whole answer: the connection broke, was refused or was closed by us. */
    record ConnectionBroken(CallStage stage, String reason) implements CallResult {}

    /** The outcome in the module's terms; nothing but a whole answer or an unfinished write proves much. */
    default AttemptOutcome outcome() {
        if (this instanceof ResponseReceived answered) {
            return answered.status() == 200
                    ? AttemptOutcome.OK
                    : (answered.status() == 503 || answered.status() == 504) && answered.neverRan()
                            ? AttemptOutcome.OVERLOADED
                            : AttemptOutcome.ERROR;
        }
        CallStage stage = ((ConnectionBroken) this).stage();
        return stage == CallStage.CONNECTING || stage == CallStage.WRITING
                ? AttemptOutcome.CONNECT_FAILED
                : AttemptOutcome.RESET;
    }
}
