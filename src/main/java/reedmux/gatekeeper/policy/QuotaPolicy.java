package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * Quota counting: what each customer may still take, after the paper "Distributed rate-limiting POC" as described in
 * docs/design.md. Units go along a heap over the customer's gateways and sum up in {@code localCount}, which the
 * quota's rate drains. Beside the quota stand a strict rate limit, split evenly, and a cap on attempts in flight.
 */
final class QuotaPolicy {
    private static final double SECOND = PolicyContext.MICROS_PER_SECOND;
    /** Assumed time of a packet on its way: longer keeps new customers to their first share for longer. */
    private static final long PACKET_DELAY_MICROS = 15_000;
    /** When an idle account is forgotten: memory against another first sight. */
    private static final long ACCOUNT_IDLE_MICROS = 60_000_000;
    /** The share of a burst below which a peer that is back is sent no count: bytes against units let through. */
    private static final double REPORTED_COUNT_SHARE = 0.1;
    /** Bursts counted beyond the quota at most: what races let through takes nothing from what comes later. */
    private static final double MAX_OVERSHOOT_BURSTS = 0.75;
    /** The share of the tokens above which they go to peers that use them: theirs against our own next burst. */
    private static final double SPARE_TOKENS_SHARE = 0.5;
    /** Bursts that races are taken to have under way at most: fewer pass in a surge, more are rejected after it. */
    private static final double MAX_RACE_MARGIN_BURSTS = 6;
    /** Time constants by which that is forgotten, and the share of a burst below which the count is quiet. */
    private static final double RACE_DECAY_MICROS = 20 * SECOND;

    private static final double QUIET_RACE_DECAY_MICROS = 2 * SECOND;
    private static final double QUIET_COUNT_SHARE = 0.2;
    /** Attempts in flight are reported where that crosses the heap within so many first latency guesses. */
    private static final double MAX_REPORT_LATENCIES = 3;
    /** How near to the cap an estimate of them may come: half an attempt, as the estimate is a mean. */
    private static final double CONCURRENCY_ROUNDING = 0.5;
    /** Time constant of a branch's rate: long against the sync interval, short against shifts of traffic. */
    private static final double BRANCH_DECAY_MICROS = 4 * SECOND;
    /** Advice where only the use of others makes room, so that its time is a guess. */
    private static final long GUESSED_RETRY_AFTER_MICROS = 350_000;
    /** The price of another region's request against the cheapest plan's: own customers come first. */
    private static final double REMOTE_PRICE_SHARE = 0.5;

    private final PolicyContext context;
    private final PeerTable peers;
    private final LatencyEstimator latencies;
    private final CustomerAccounts accounts;
    private final CustomerAccount remoteRequests;
    /** The mean interval in which reachable peers want to hear from us. */
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

    /** At any event, as a gateway that takes no requests itself may hear of customers from its peers alone. */
    void evictIdleAccounts() {
        if (context.now - lastEvictionAt > ACCOUNT_IDLE_MICROS / 4) {
            lastEvictionAt = context.now;
            accounts.all().removeIf(this::isEvictable);
        }
    }

    /** Whether a customer that comes back later finds what a new one would: idle for long, and nothing used. */
    private boolean isEvictable(CustomerAccount account) {
        drain(account);
        CustomerPlan plan = account.plan;
        return account.inFlight == 0
                && context.now - account.usedAt > ACCOUNT_IDLE_MICROS
                && (plan.quotaRate() == 0 || account.localCount() == 0)
                && (plan.rateLimit() == 0 || account.rateLimitTokens >= account.share(plan.rateLimitBurst()));
    }

    /** The account of a request, brought up to date. */
    CustomerAccount account(IncomingRequest request) {
        boolean remote = request.plan() == TrafficPolicy.REMOTE_REQUEST_PLAN;
        return refresh(remote ? remoteRequests : accounts.getOrCreate(request));
    }

    /** The account with its present neighbours, and drained until now. */
    CustomerAccount refresh(CustomerAccount account) {
        peers.refresh(account);
        drain(account);
        return account;
    }

    /** Whether quota, cap and rate limit let so many units pass now. */
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

    /** Time until quota, rate limit and first share make room; a guess where only others' use can. */
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

    /** Until the others' counts can have come here, a new customer has this gateway's even share of the burst. */
    private boolean exceedsFirstShare(CustomerAccount account, double units) {
        return account.unitsSinceFirstSeen > 0
                && context.now < account.firstSeenAt + propagationTime(account.memberCount)
                && account.unitsSinceFirstSeen + units > account.share(account.plan.quotaBurst());
    }

    /** Whether so many units may be too much before the others know of them; a part of them goes by lot. */
    private boolean exceedsRunAhead(CustomerAccount account, double units) {
        long hopDelay = ((long) meanSyncInterval + PACKET_DELAY_MICROS) / 2 + 2 * peers.lateness();
        double allowance =
                account.unknownAllowance(2L * (HeapTopology.depth(account.memberCount) - 1) * hopDelay, context.now);
        return allowance < units && context.random.nextDouble() * units >= allowance;
    }

    /** Takes units, or gives back what was taken where they are negative. */
    void charge(CustomerAccount account, double units) {
        account.spend(units, context.now);
        count(account, units, PeerTable.NO_PEER);
    }

    /** Counts units here and for all neighbours but the one that reported them. */
    void count(CustomerAccount account, double units, int from) {
        account.add(units, from);
        peers.markPending(account, from);
    }

    /**
     * Units heard past the burst were let through before the count got there; as many may be under way again.
     * While remembered, the last of the room goes by lot, or hundreds of gateways would all take it. It meets
     * surges, slow propagation and partitions; just after a surge a customer within its quota loses some requests.
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
     * Drains the count at the quota's rate, less the share of members that are cut off, and never below zero: as
     * if nothing unheard of were under way, surges would pass for that much longer. Refills the rate limit's tokens.
     */
    void drain(CustomerAccount account) {
        double elapsed = (context.now - account.drainedAt) / SECOND;
        account.drainedAt = context.now;
        CustomerPlan plan = account.plan;
        account.drain(plan.quotaRate() * (1 - account.unreachableShare) * elapsed);
        account.rateLimitTokens = Math.min(
                account.share(plan.rateLimitBurst()),
                account.rateLimitTokens + account.share(plan.rateLimit()) * elapsed);
        account.decayBranches(Math.exp(-elapsed * SECOND / BRANCH_DECAY_MICROS));
        boolean quiet = account.localCount() < QUIET_COUNT_SHARE * plan.quotaBurst();
        account.raceMargin *= Math.exp(-elapsed * SECOND / (quiet ? QUIET_RACE_DECAY_MICROS : RACE_DECAY_MICROS));
    }

    /** The longest time for a count to cross the heap, 2(log2(N+1)-1)(Δs+Δt) with whole levels, in microseconds. */
    private long propagationTime(int members) {
        return 2L * (HeapTopology.depth(members) - 1) * ((long) meanSyncInterval + PACKET_DELAY_MICROS);
    }

    boolean reportsInFlight(CustomerAccount account) {
        return account.plan.maxConcurrency() > 0
                && propagationTime(account.memberCount) < MAX_REPORT_LATENCIES * latencies.initialEstimate();
    }

    /** Attempts in flight at all members: as reported where that is in time, else what their rate keeps in flight. */
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

    /** Whether the count has to be reported to a peer that knows nothing. */
    boolean reportsCount(CustomerAccount account) {
        return account.localCount() > REPORTED_COUNT_SHARE * account.plan.quotaBurst();
    }

    /**
     * The paper's receipt of an update: into every counter but the one facing its sender. Where the sender is no
     * neighbour in our view, its units are counted here and go no further, so that nothing can go round.
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
     * Spare tokens of the rate limit follow the use: they leave our store before they are reported, are never sent
     * again and lift no store past its share, so that a loss or a restart can only lower the sum.
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
