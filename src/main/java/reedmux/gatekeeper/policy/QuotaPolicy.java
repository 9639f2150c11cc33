package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * Quota counting as in "Distributed rate-limiting POC", described in docs/design.md. Units are propagated
 * along a heap of the customer's gateways and summed in {@code localCount}, which drains at the quota's rate. A strict
 * rate limit, split evenly among the gateways, and a cap on attempts in flight apply as well.
 */
final class QuotaPolicy {
    private static final double SECOND = PolicyContext.MICROS_PER_SECOND;
    /** Assumed network delay of a packet: longer restricts new customers to their initial share for longer. */
    private static final long PACKET_DELAY_MICROS = 15_000;
    /** Idle time until an account is evicted: shorter saves memory, longer avoids treating customers as new again. */
    private static final long ACCOUNT_IDLE_MICROS = 60_000_000;
    /** Share of a burst below which a recovered peer is sent no count: saves bytes, but these units may pass again. */
    private static final double REPORTED_COUNT_SHARE = 0.1;
    /** Maximum count beyond the burst, in bursts: units that races admit above it do not reduce later quota. */
    private static final double MAX_OVERSHOOT_BURSTS = 0.75;
    /** Share of the tokens kept for bursts here; tokens above it are transferred to peers that use them. */
    private static final double SPARE_TOKENS_SHARE = 0.5;
    /** Maximum race margin, in bursts: a larger one admits fewer units in a surge but rejects more after it. */
    private static final double MAX_RACE_MARGIN_BURSTS = 6;
    /** Decay time constants of the race margin, the second while the count is below the share of a burst. */
    private static final double RACE_DECAY_MICROS = 20 * SECOND;

    private static final double QUIET_RACE_DECAY_MICROS = 2 * SECOND;
    private static final double QUIET_COUNT_SHARE = 0.2;
    /** Attempts in flight are reported if reports cross the heap within this many initial latency estimates. */
    private static final double MAX_REPORT_LATENCIES = 3;
    /** Distance that the estimated concurrency keeps from the cap: half an attempt, as the estimate is a mean. */
    private static final double CONCURRENCY_ROUNDING = 0.5;
    /** Decay time constant of a branch's rate: long against the sync interval, short against shifts of traffic. */
    private static final double BRANCH_DECAY_MICROS = 4 * SECOND;
    /** Retry-after where room depends only on the usage of others, so that the time is a guess. */
    private static final long GUESSED_RETRY_AFTER_MICROS = 350_000;
    /** Price of a remote request relative to the cheapest plan's: local customers take precedence. */
    private static final double REMOTE_PRICE_SHARE = 0.5;

    private final PolicyContext context;
    private final PeerTable peers;
    private final LatencyEstimator latencies;
    private final CustomerAccounts accounts;
    private final CustomerAccount remoteRequests;
    /** Mean interval at which reachable peers want to receive packets, in microseconds. */
    double meanSyncInterval;

    private long lastEvictionAt;

    QuotaPolicy(PolicyContext context, CustomerAccounts accounts, PeerTable peers, LatencyEstimator latencies) {
        this.context = context;
        this.accounts = accounts;
        this.peers = peers;
        this.latencies = latencies;
        double cheapest = context.settings.plans().stream()
                .mapToDouble(CustomerPlan::price)
                .min()
                .orElse(1);
        CustomerPlan remotePlan = new CustomerPlan("visitors", 0, 0, 0, 0, 0, 0, cheapest * REMOTE_PRICE_SHARE, 0, 0);
        remoteRequests = accounts.createRemoteAccount(remotePlan);
    }

    boolean isRemote(CustomerAccount account) {
        return account == remoteRequests;
    }

    /** Runs on any event, because a gateway without requests of its own may know customers only from its peers. */
    void evictIdleAccounts() {
        if (context.now - lastEvictionAt > ACCOUNT_IDLE_MICROS / 4) {
            lastEvictionAt = context.now;
            accounts.all().removeIf(this::isEvictable);
        }
    }

    /** Whether the account is idle for long and unused, so that a new account would be equivalent. */
    private boolean isEvictable(CustomerAccount account) {
        drain(account);
        CustomerPlan plan = account.plan;
        return account.inFlight == 0
                && context.now - account.usedAt > ACCOUNT_IDLE_MICROS
                && (plan.quotaRate() == 0 || account.localCount() == 0)
                && (plan.rateLimit() == 0 || account.rateLimitTokens >= account.share(plan.rateLimitBurst()));
    }

    /** Returns the account of a request, refreshed. */
    CustomerAccount account(IncomingRequest request) {
        boolean remote = request.plan() == TrafficPolicy.REMOTE_REQUEST_PLAN;
        return refresh(remote ? remoteRequests : accounts.getOrCreate(request));
    }

    /** Updates the account's neighbours and drains it up to now. */
    CustomerAccount refresh(CustomerAccount account) {
        peers.refresh(account);
        drain(account);
        return account;
    }

    /** Whether the quota, the concurrency cap and the rate limit admit the units now. */
    boolean allows(CustomerAccount account, double units) {
        CustomerPlan plan = account.plan;
        double room = plan.quotaBurst() - account.localCount();
        boolean withinQuota = plan.quotaRate() == 0
                || units <= room
                        && !exceedsFirstShare(account, units)
                        && !exceedsRunAhead(account, units)
                        && (room >= account.raceMargin || context.random.nextDouble() * account.raceMargin <= room);
        return withinQuota
                && (plan.maxConcurrency() == 0
                        || inFlightEverywhere(account) + CONCURRENCY_ROUNDING < plan.maxConcurrency())
                && (plan.rateLimit() == 0 || account.rateLimitTokens >= units);
    }

    /** Microseconds until quota, rate limit and initial share have room; a guess if only others' usage can free it. */
    long retryAfter(CustomerAccount account, double units) {
        CustomerPlan plan = account.plan;
        double excess = account.localCount() + units - plan.quotaBurst();
        double wait = plan.quotaRate() > 0 ? excess / plan.quotaRate() : 0;
        if (plan.rateLimit() > 0) {
            wait = Math.max(wait, (units - account.rateLimitTokens) / account.share(plan.rateLimit()));
        }
        if (exceedsFirstShare(account, units)) {
            wait = Math.max(wait, (account.firstSeenAt + propagationTime(account.memberCount) - context.now) / SECOND);
        }
        return wait > 0 ? (long) Math.ceil(wait * SECOND) : GUESSED_RETRY_AFTER_MICROS;
    }

    /** Limits a new customer to an even share of the burst until the others' counts can have arrived. */
    private boolean exceedsFirstShare(CustomerAccount account, double units) {
        return account.unitsSinceFirstSeen > 0
                && context.now < account.firstSeenAt + propagationTime(account.memberCount)
                && account.unitsSinceFirstSeen + units > account.share(account.plan.quotaBurst());
    }

    /** Whether units exceed what may be admitted before other members know; a partial fit is decided at random. */
    private boolean exceedsRunAhead(CustomerAccount account, double units) {
        long hopDelay = ((long) meanSyncInterval + PACKET_DELAY_MICROS) / 2 + 2 * peers.lateness();
        double allowance =
                account.unknownAllowance(2L * (HeapTopology.depth(account.memberCount) - 1) * hopDelay, context.now);
        return allowance < units && context.random.nextDouble() * units >= allowance;
    }

    /** Charges units to the customer, or refunds them if negative. */
    void charge(CustomerAccount account, double units) {
        account.spend(units, context.now);
        count(account, units, PeerTable.NO_PEER);
    }

    /** Counts units here and queues them for all neighbours but the one that reported them. */
    void count(CustomerAccount account, double units, int from) {
        account.add(units, from);
        peers.markPending(account, from);
    }

    /**
     * Units reported beyond the burst were admitted before the count arrived, so as many more may still be unreported.
     * While the margin lasts, the remaining room is granted at random; otherwise hundreds of gateways would all use it.
     * This covers surges, slow propagation and partitions; after a surge a customer within its quota loses some
     * requests.
     */
    private void recordOvershoot(CustomerAccount account, double units) {
        double burst = account.plan.quotaBurst();
        double excess = Math.min(units, account.localCount() - burst);
        if (excess > 0 && account.plan.quotaRate() > 0) {
            account.raceMargin = Math.min(MAX_RACE_MARGIN_BURSTS * burst, account.raceMargin + excess);
        }
        account.capAt((1 + MAX_OVERSHOOT_BURSTS) * burst);
    }

    /**
     * Drains the count at the quota's rate, less the share of unreachable members, and refills the rate-limit tokens.
     * The count stays at or above zero: with a negative count, surges would be admitted for that much longer.
     */
    void drain(CustomerAccount account) {
        double elapsed = (context.now - account.drainedAt) / SECOND;
        account.drainedAt = context.now;
        CustomerPlan plan = account.plan;
        account.drain(plan.quotaRate() * (1 - account.unreachableShare) * elapsed);
        account.rateLimitTokens = Math.min(
                account.share(plan.rateLimitBurst()),
                account.rateLimitTokens + account.share(plan.rateLimit()) * elapsed);
        account.decayBranches(StrictMath.exp(-elapsed * SECOND / BRANCH_DECAY_MICROS));
        boolean quiet = account.localCount() < QUIET_COUNT_SHARE * plan.quotaBurst();
        account.raceMargin *= StrictMath.exp(-elapsed * SECOND / (quiet ? QUIET_RACE_DECAY_MICROS : RACE_DECAY_MICROS));
    }

    /** Maximum time for a count to cross the heap, 2(log2(N+1)-1)(Δs+Δt) with whole levels, in microseconds. */
    private long propagationTime(int members) {
        return 2L * (HeapTopology.depth(members) - 1) * ((long) meanSyncInterval + PACKET_DELAY_MICROS);
    }

    boolean reportsInFlight(CustomerAccount account) {
        return account.plan.maxConcurrency() > 0
                && propagationTime(account.memberCount) < MAX_REPORT_LATENCIES * latencies.initialEstimate();
    }

    /** Attempts in flight at all members: as reported if reports arrive in time, else estimated from branch rates. */
    private double inFlightEverywhere(CustomerAccount account) {
        double branchUnits = account.branchUnits[0] + account.branchUnits[1] + account.branchUnits[2];
        return reportsInFlight(account)
                ? account.inFlightExcept(-1)
                : account.inFlight + branchUnits / BRANCH_DECAY_MICROS * latencies.meanAttemptTime();
    }

    void changeInFlight(CustomerAccount account, int delta) {
        account.inFlight += delta;
        if (reportsInFlight(account)) {
            peers.markPending(account, PeerTable.NO_PEER);
        }
    }

    /** Whether the count must be reported to a peer that has none. */
    boolean reportsCount(CustomerAccount account) {
        return account.localCount() > REPORTED_COUNT_SHARE * account.plan.quotaBurst();
    }

    /**
     * Applies a reported update to every counter except the one that faces its sender. If the sender is not a neighbour
     * in the view of this gateway, its units are counted here but not forwarded, so that nothing can circulate.
     */
    void onReport(PeerPacket.AccountEntry entry, int from) {
        CustomerAccount account =
                refresh(accounts.getOrCreate(entry.customer(), entry.plan(), entry.firstMember(), entry.memberCount()));
        account.usedAt = context.now;
        int slot = account.slotOf(from);
        if (slot < 0) {
            account.addWithoutForwarding(entry.delta());
            recordOvershoot(account, entry.delta());
            return;
        }
        if (entry.count() != null) {
            account.raiseTo(entry.count() + account.pending(slot));
        }
        count(account, entry.delta(), from);
        recordOvershoot(account, entry.delta());
        account.branchUnits[slot] += Math.max(0, entry.delta());
        passSpareTokens(account, slot, entry);
        if (entry.inFlight() != null && account.plan.maxConcurrency() > 0) {
            account.branchConcurrency[slot] = entry.inFlight();
            changeInFlight(account, 0);
        }
    }

    /**
     * Transfers spare rate-limit tokens towards their use: they leave this gateway before they are reported, are never
     * sent again and raise no gateway above its share, so that a loss or a restart can only lower the sum.
     */
    private void passSpareTokens(CustomerAccount account, int slot, PeerPacket.AccountEntry entry) {
        double share = account.share(account.plan.rateLimitBurst());
        account.rateLimitTokens = Math.min(share, account.rateLimitTokens + Math.max(0, entry.grant()));
        double spare =
                PeerPacket.roundToWire(Math.min(entry.delta(), account.rateLimitTokens - SPARE_TOKENS_SHARE * share));
        if (account.plan.rateLimit() > 0 && spare > 0) {
            account.rateLimitTokens -= spare;
            account.pendingGrant[slot] += spare;
            peers.get(account.neighbour(slot)).pendingAccounts.add(account);
        }
    }
}
