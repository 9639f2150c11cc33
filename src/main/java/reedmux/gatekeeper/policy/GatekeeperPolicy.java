// Interface: TrafficPolicy.java in this directory defines the settings, events and actions used here.
package reedmux.gatekeeper.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All decisions of one gateway: dispatches each event to the policy that decides on it, and tracks active requests. A
 * request is checked against its customer's quota, then a server is selected, then its value is evaluated.
 */
public final class GatekeeperPolicy implements TrafficPolicy {
    /** Mean retry-after in overload, randomised by half of it either way so that clients do not return all at once. */
    private static final long OVERLOAD_RETRY_AFTER_MICROS = 700_000;

    private final PolicyContext context;
    private final LatencyEstimator latencies;
    private final ServerPool pool = new ServerPool();
    final CustomerAccounts accounts;
    private final PeerTable peers;
    private final QuotaPolicy quotas;
    private final PeerFailureDetector failureDetector;
    private final PeerExchange exchange;
    private final RetryPolicy retries;
    private final ServerHealth health;
    private final ServerSelector selector;
    private final AdmissionPolicy admission;
    private final Map<String, ActiveRequest> active = new LinkedHashMap<>();

    /** Creates the policy of one gateway; {@code seed} is its only source of randomness. */
    public GatekeeperPolicy(PolicySettings settings, long seed) {
        context = new PolicyContext(settings, seed);
        latencies = new LatencyEstimator(context);
        HeapTopology topology = new HeapTopology(settings.self(), settings.groupSize());
        peers = new PeerTable(context, topology);
        accounts = new CustomerAccounts(context, topology);
        quotas = new QuotaPolicy(context, accounts, peers, latencies);
        failureDetector = new PeerFailureDetector(context, topology, peers, quotas);
        exchange = new PeerExchange(context, topology, peers, accounts, quotas, failureDetector);
        retries = new RetryPolicy(context, latencies);
        health = new ServerHealth(context);
        selector = new ServerSelector(context, latencies, retries, pool);
        admission = new AdmissionPolicy(context, latencies, pool);
    }

    /** Sets the limit on incoming peer messages per second; called by the thread that handles events. */
    public void setPeerMessageLimit(double perSecond) {
        failureDetector.setMessageLimit(perSecond);
    }

    /** Whether a peer has revealed that an earlier process ran as this gateway; callable from any thread. */
    public boolean restartDetected() {
        return exchange.restartDetected();
    }

    /** Returns how many listed servers are ejected; 0 if so many are that ejections are ignored. */
    public int ejectedServers() {
        return selector.ignoresEjections() ? 0 : pool.ejectedCount();
    }

    /** Returns the counts to exchange with another process that replaces this one. */
    public HandoverCounts handoverCounts() {
        return new HandoverCounts(context, accounts, peers, quotas, exchange);
    }

    @Override
    public void handle(long now, PolicyEvent event, PolicyActions actions) {
        context.now = now;
        context.actions = actions;
        if (context.startedAt < 0) {
            start();
        }
        failureDetector.excludeOwnStall();
        quotas.evictIdleAccounts();
        if (event instanceof IncomingRequest e) {
            onRequest(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof PeerMessage e) {
            exchange.onPacket(e.from(), e.bytes());
        } else if (event instanceof TimerExpired e && e.token() == PeerFailureDetector.SYNC_TIMER) {
            failureDetector.synchronise(exchange);
        } else if (event instanceof TimerExpired) {
            actions.watchServers(true);
        } else if (event instanceof ServerList e) {
            selector.onServers(e);
        } else if (event instanceof RequestBodyProgress e && active.get(e.request()) != null) {
            active.get(e.request()).onBodyProgress(e.complete(), now);
        } else if (event instanceof ResponseStreamStarted e) {
            onStream(e);
        } else if (event instanceof RequestWithdrawn e && active.get(e.request()) != null) {
            close(active.get(e.request()));
        } else if (event instanceof ForwardedRequestEnded e && active.get(e.request()) != null) {
            onForwardEnded(active.get(e.request()));
        }
    }

    private void start() {
        context.startedAt = context.now;
        if (context.settings.limits().peerMessages() && context.settings.groupSize() > 1) {
            failureDetector.start();
        }
        if (context.settings.pollsDiscovery()) {
            context.actions.watchServers(true);
        }
    }

    private void onRequest(IncomingRequest request) {
        ClassLatency latency = latencies.onRequest(request.requestClass(), request.units());
        RequestClass requestClass = context.settings.classes().get(request.requestClass());
        CustomerAccount account = quotas.account(request);
        ActiveRequest accepted = new ActiveRequest(request, requestClass, latency, account, context.now);
        active.put(request.id(), accepted);
        if (!quotas.allows(account, request.units())) {
            reject(accepted, quotas.retryAfter(account, request.units()));
            return;
        }
        ServerState server = selector.choose(accepted);
        if (server == null || admission.rejects(accepted, server, quotas.isRemote(account))) {
            long spread = context.random.nextLong(OVERLOAD_RETRY_AFTER_MICROS);
            forwardOrReject(accepted, OVERLOAD_RETRY_AFTER_MICROS / 2 + spread);
            return;
        }
        send(accepted, server);
        admission.onFirstSent();
        quotas.charge(account, request.units());
        retries.onFirstSent();
    }

    /** Sends the request to a server that the selector has just chosen, so that the rules allow it. */
    private void send(ActiveRequest request, ServerState server) {
        context.actions.send(request.request.id(), server.listing.id(), retries.timeout(request));
        request.attempts.add(new PolicyAttempt(server, context.now));
        selector.onSent(server, latencies.serviceTime(request));
        health.onSent(server);
        quotas.changeInFlight(request.account, 1);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        ActiveRequest request = active.get(ended.request());
        if (request == null || ended.attempt() >= request.attempts.size()) {
            return;
        }
        AttemptOutcome outcome = ended.outcome();
        PolicyAttempt attempt = request.attempts.get(ended.attempt());
        request.markEnded(attempt, outcome);
        latencies.onAttemptEnded(ended.elapsed());
        peers.refresh(request.account);
        quotas.changeInFlight(request.account, -1);
        health.onOutcome(attempt.server, outcome);
        health.adjustLimit(request, attempt, outcome, ended.elapsed());
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR) {
            attempt.server.noProgressSince = context.now;
        }
        if (ended.attempt() == 0) {
            admission.onFirstAttemptEnded(request, outcome, ended.elapsed());
        }
        retries.onAttemptEnded(request, attempt, outcome, ended.elapsed());
        if (ended.actualUnits() > 0 && !request.unitsSettled) {
            request.unitsSettled = true;
            quotas.drain(request.account);
            quotas.count(request.account, ended.actualUnits() - request.request.units(), PeerTable.NO_PEER);
        }
        if (ended.requestOver() || request.closed) {
            close(request);
        } else if (request.allEnded()) {
            retry(request);
        }
    }

    private void retry(ActiveRequest request) {
        ServerState server = retries.hasBudget() ? selector.choose(request) : null;
        if (server != null) {
            send(request, server);
            retries.onRetrySent();
        } else if (retries.isRepeatHarmless(request)) {
            forwardOrReject(request, OVERLOAD_RETRY_AFTER_MICROS / 2);
        } else {
            context.actions.fail(request.request.id());
            close(request);
        }
    }

    private void onStream(ResponseStreamStarted started) {
        ActiveRequest request = active.get(started.request());
        if (request != null && started.attempt() < request.attempts.size()) {
            PolicyAttempt attempt = request.attempts.get(started.attempt());
            latencies.onAnswer(request, attempt.server, started.elapsed());
            request.onStreamStarted(attempt, context.now);
        }
    }

    /** Forwards to another region if possible; a forwarded request is charged here, once, and counts as in flight. */
    private void forwardOrReject(ActiveRequest request, long retryAfter) {
        long bounded = Math.min(context.settings.limits().maxRetryAfter(), retryAfter);
        if (!context.actions.forwardToRegion(request.request.id(), bounded)) {
            reject(request, retryAfter);
            return;
        }
        if (request.attempts.isEmpty()) {
            quotas.charge(request.account, request.request.units());
        }
        request.forwarded = true;
        request.delivered = true;
        quotas.changeInFlight(request.account, 1);
    }

    private void onForwardEnded(ActiveRequest request) {
        request.forwarded = false;
        peers.refresh(request.account);
        quotas.changeInFlight(request.account, -1);
        close(request);
    }

    private void reject(ActiveRequest request, long retryAfter) {
        long bounded = Math.min(context.settings.limits().maxRetryAfter(), retryAfter);
        context.actions.reject(request.request.id(), bounded);
        close(request);
    }

    private void close(ActiveRequest request) {
        request.closed = true;
        if (request.allEnded()) {
            active.remove(request.request.id());
            if (context.settings.chargeOnDelivery() && !request.delivered && !request.attempts.isEmpty()) {
                quotas.drain(request.account); // refunds the units that were charged at the send but never delivered
                quotas.charge(request.account, -request.request.units());
            }
        }
    }
}
