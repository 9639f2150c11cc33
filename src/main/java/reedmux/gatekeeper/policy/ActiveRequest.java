package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/** A request that this gateway has accepted, kept until its last attempt has ended. */
final class ActiveRequest {
    final IncomingRequest request;
    final RequestClass requestClass;
    final ClassLatency classLatency;
    final CustomerAccount account;
    /** When it came, in microseconds. */
    final long arrivedAt;

    final List<PolicyAttempt> attempts = new ArrayList<>(2);
    /** It has its final answer, or nobody waits for one any more. */
    boolean closed;
    /** Its true units are known and counted. */
    boolean unitsSettled;
    /** An attempt has come to a server as a whole, or it went to another region. */
    boolean delivered;

    boolean streaming;
    /** It is with another region, which answers it. */
    boolean forwarded;

    ActiveRequest(
            IncomingRequest request,
            RequestClass requestClass,
            ClassLatency classLatency,
            CustomerAccount account,
            long arrivedAt) {
        this.request = request;
        this.requestClass = requestClass;
        this.classLatency = classLatency;
        this.account = account;
        this.arrivedAt = arrivedAt;
    }

    /** Attempts that wait for its body are no load at their servers until it is complete. */
    void onBodyProgress(boolean complete, long now) {
        for (PolicyAttempt attempt : attempts) {
            if (!attempt.ended && !streaming && attempt.excludedFromLoad == complete) {
                attempt.excludedFromLoad = !complete;
                ServerState server = attempt.server;
                server.inFlight += complete ? 1 : -1;
                server.noProgressSince = complete && server.inFlight == 1 ? now : server.noProgressSince;
            }
        }
    }

    /** The answer to an attempt has begun: what still comes is no work at the server. */
    void onStreamStarted(PolicyAttempt attempt, long now) {
        attempt.server.inFlight -= attempt.excludedFromLoad ? 0 : 1;
        attempt.excludedFromLoad = true;
        attempt.server.noProgressSince = now;
        streaming = true;
    }

    void markEnded(PolicyAttempt attempt, AttemptOutcome outcome) {
        attempt.ended = true;
        attempt.mayHaveRun = !outcome.neverRan();
        delivered |= outcome != AttemptOutcome.CONNECT_FAILED && outcome != AttemptOutcome.NOT_SENT;
        attempt.server.inFlight -= attempt.excludedFromLoad ? 0 : 1;
    }

    boolean wasSentTo(ServerState server) {
        for (PolicyAttempt attempt : attempts) {
            if (attempt.server.listing.id().equals(server.listing.id())) {
                return true;
            }
        }
        return false;
    }

    /** Whether an ejected server may be tried with it: nothing is sent yet, and a repeat does no harm. */
    boolean mayTryEjected() {
        return attempts.isEmpty() && requestClass.idempotency() != Idempotency.UNSAFE;
    }

    boolean allEnded() {
        return !forwarded && attempts.stream().allMatch(attempt -> attempt.ended);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun || !attempt.ended);
    }
}
