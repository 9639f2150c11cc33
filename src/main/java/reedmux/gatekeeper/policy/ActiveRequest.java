package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/** A request that this gateway has received, tracked until its last attempt has ended. */
final class ActiveRequest {
    final IncomingRequest request;
    final RequestClass requestClass;
    final ClassLatency classLatency;
    final CustomerAccount account;
    /** Arrival time, in microseconds. */
    final long arrivedAt;

    final List<PolicyAttempt> attempts = new ArrayList<>(2);
    /** Whether the final answer has been given, or the client no longer waits for one. */
    boolean closed;
    /** Whether the actual units are known and have been counted. */
    boolean unitsSettled;
    /** Whether an attempt delivered the whole request to a server, or the request was forwarded to another region. */
    boolean delivered;

    boolean streaming;
    /** Whether another region is handling the request and will answer it. */
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

    /**
     * Excludes attempts from their servers' load while the request body is incomplete, and includes them once it is
     * complete.
     */
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

    /**
     * Excludes an attempt from its server's load once the response has begun: the rest of the stream is not work for
     * the server.
     */
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

    /** Whether the request may probe an ejected server: nothing has been sent yet, and a repeat is harmless. */
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
