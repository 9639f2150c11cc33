package reedmux.simulation.cluster;

import reedmux.common.http1.Http1Head;
import reedmux.simulation.harness.DigestedBody;

/** Checks that checkers receive request bodies as they were sent. */
final class BodyInvariants {
    private final ViolationLog log;
    private int comparedBodies;

    BodyInvariants(ViolationLog log) {
        this.log = log;
    }

    /** Compares the digest of a whole body that a checker has received with the one that the client sent, if any. */
    void onBodyReceived(Http1Head head, String checker, String digest) {
        String sent = head.get(DigestedBody.HEADER);
        if (sent == null) {
            return;
        }
        comparedBodies++;
        if (!sent.equals(digest)) {
            log.report(
                    "UNASKED",
                    "the body of " + head.get("Reedmux-Attempt-Id") + " (" + sent + ") reached " + checker + " as "
                            + digest);
        }
    }

    /** Reports input of a checker that is no request, or no body, for example a request within a body. */
    void onMalformedInput(String checker, String problem) {
        log.report("UNASKED", checker + " received what is no request: " + problem);
    }

    int comparedBodies() {
        return comparedBodies;
    }
}
