// Interface: TrafficPolicy.java, beside this file, holds the settings, events and actions that are used here.
package reedmux.gatekeeper.policy;

import java.util.*;
import reedmux.gatekeeper.policy.PolicyState.*;

/**
 * All decisions of one gateway. The quota part follows the paper "Distributed rate-limiting POC" as told in
 * docs/design.md: deltas of each customer go along a heap over its gateways and sum up in {@code localCount}.
 */
public final class GatekeeperPolicy implements TrafficPolicy {
    // ---- Constants: times in microseconds ----------------------------------------------------------
    private static final double SECOND = 1e6;
    private static final long MILLI = 1000, SYNC_TIMER = 1, ASK_TIMER = 2;
    /** A customer's number has no more; a longer one would not fit into an entry. */
    private static final int CUSTOMER_BITS = 33;
    /** First numbers of a new life; packets that may be lost in a row; changes that nobody lives through. */
    private static final int FIRST_PACKETS = 4, MOST_AHEAD = 1 << 16, MOST_CHANGES = 1 << 30;
    /** Share of the mail limit planned for; the rest is for answers and for clocks that run together. */
    private static final double MAIL_SHARE = 0.8;
    /** Δs: shortest, as bytes cost, and longest; time between looks at the mail, and its change at one. */
    private static final long SYNC_MIN = 40_000, SYNC_MAX = 1_000_000;

    private static final double PACE_LOOK = 0.5 * SECOND, PACE_STEP = 1.5;
    /** Assumed time of a packet on its way (Δt), until measured none is known to be longer. */
    private static final long MAIL_TIME = 15_000;
    /** Δs without an answer until it is asked for again, until an owed one goes alone, until silence. */
    private static final int ASK_SYNCS = 2, ANSWER_SYNCS = 1, SILENT_SYNCS = 12;
    /** Time that makes silent: least, most, doubled by false alarms, and what is kept of it each Δs. */
    private static final long SILENT_LEAST = 300_000, SILENT_MOST = 4_000_000;

    private static final double SILENT_FADE = 0.999;
    /** Pace of asking a silent neighbour; Δs without event in an own stall; time to forget idle accounts. */
    private static final long PROBE_PACE = 1_000_000, STALL_SYNCS = 3, ACCOUNT_IDLE = 60_000_000;
    /**
     * Shares: of a burst, below which one that is back is told no count, and kept at most of what went beyond
     * a quota, as it takes nothing from it; of a ceiling's store, above which it goes to its users.
     */
    private static final double TELL_COUNT = 0.1, OVERSHOOT = 0.75, CEILING_SPARE = 0.5;
    /** Most bursts that races are taken to have under way; forgotten slowly while counts exceed a share. */
    private static final double MARGIN_MOST = 6, MARGIN_MEMORY = 20 * SECOND;

    private static final double QUIET_COUNT = 0.2, QUIET_MEMORY = 2 * SECOND;
    /** Open attempts are told where that crosses within so many first guesses; how near a mean may come. */
    private static final double OPEN_CROSSING = 3, OPEN_CHANCE = 0.5;
    /** Time constant of a branch's rate: long against Δs, short against shifts of traffic. */
    private static final double BRANCH_MEMORY = 4 * SECOND;
    /** Weight of a sample: about the last ten answers of a server, twenty of a class, hundred requests. */
    private static final double SAMPLE = 0.1, CLASS_SAMPLE = 0.05, DENSITY_SAMPLE = 0.01;
    /** Bounds on what a request's units say of its time, and on what one answer says of server and class. */
    private static final double SIZE_LEAST = 0.5, SIZE_MOST = 3, RATIO_BOX = 20, RATIO_CLASS = 3;
    /** Failures in a row, or share of failures, that take a server out, and good answers to be back. */
    private static final int FAILURES_OUT = 3, GOOD_BACK = 2;

    private static final double ERRORS_OUT = 0.4, KEEP_IN = 0.5;
    /** First and longest time out, and its doublings; this share stays in, as all slow is not their fault. */
    private static final long OUT_FIRST = 500_000, OUT_MOST = 4_000_000, OUT_DOUBLED = 5;
    /**
     * The bound on attempts out at a server: its start over all gateways, its least at the start, its growth
     * by a good answer while in use, what is left after a slow answer and after being turned away. Slow is
     * this share of the aim, or this multiple of the class's best mean, which is forgotten at this rate; but
     * what is under a small share of the aim is none, or the machine's own jitter would close quick servers.
     */
    private static final double LIMIT_START = 24, LIMIT_LEAST = 2, LIMIT_UP = 0.2, LIMIT_SLOW = 0.8;

    private static final double LIMIT_FULL = 0.6, SLOW = 0.5, SLOW_BEST = 4, SLOW_LEAST = 0.05;
    private static final double BEST_FADE = 0.0005;
    /** Shares by relative worth, least, most, slope: of all bounds in use, of the aim in a request's time. */
    private static final double FILL_LEAST = 0.6, FILL_MOST = 1, FILL_SLOPE = 0.2;

    private static final double WAIT_LEAST = 0.3, WAIT_MOST = 0.85, WAIT_SLOPE = 0.35;
    /** What an error costs against an answer, in usual times. */
    private static final double ERROR_COST = 4;
    /** Memory of a server's speed and of a class's raised latency; a class's first guess, by its aim. */
    private static final double SLOWNESS_MEMORY = 8 * SECOND, CLASS_MEMORY = 3 * SECOND, FIRST_GUESS = 0.125;
    /** Time constant of own rates, and weight of a sample after a long time without one. */
    private static final double RATE_MEMORY = 5 * SECOND, STALE_SAMPLE = 0.5;
    /** A server in another zone must be this much quicker; a random factor keeps gateways from crowding. */
    private static final double OTHER_ZONE = 1.08, JITTER = 0.15;
    /**
     * Servers looked at for a request; those that a gateway keeps to: one for each request of its own in so
     * many seconds, but so many at least, and so many gateways to a server at least.
     */
    private static final int SAMPLED = 16, WINDOW_LEAST = 4, WINDOW_COVER = 2;

    private static final double WINDOW = 0.5;
    /** A repeatable attempt is given up at this multiple of its usual time, or share of its aim if longer. */
    private static final double PATIENCE = 5, PATIENCE_AIM = 0.5;
    /** Time-outs lengthen the patience: many mean it was too short. One would have taken so much longer. */
    private static final double TIMEOUT_WEIGHT = 10, CENSORED = 1.5;
    /** Further attempts earned by a first one, and the most saved up. */
    private static final double RETRY_EARNED = 0.15, RETRY_MOST = 15;
    /** Part of the fall budget in use, the rest is for estimates; and what a cold server does at least. */
    private static final double FALL_USED = 0.5, COLD_LEAST = 0.01;
    /**
     * First sends for a good answer, its memory, a trial; first guesses that what is out counts as good; and
     * the share of what is wanted that is a trial at least, as from single ones it took 9 s to recover.
     */
    private static final double SENDS_PER_GOOD = 2, GOOD_MEMORY = 2 * SECOND, TRIAL = 1, YOUNG = 2;

    private static final double TRIAL_SHARE = 0.05;
    /** Advice to stay away after a refusal in overload; pause before discovery is asked again. */
    private static final long OVERLOAD_ADVICE = 700_000, ASK_AGAIN = 500_000;
    /**
     * What a visitor is worth against the cheapest plan, and the most that it may be expected to take against
     * the best mean of its class: own customers' requests come first, and where these begin to queue there is
     * nothing to spare.
     */
    private static final double VISITOR_WORTH = 0.5, VISITOR_SLOW = 2;

    // ---- State -------------------------------------------------------------------------------------
    final PolicySettings settings;
    private final SplittableRandom random;
    private final int incarnation;
    private final int[] status;
    private final PeerState[] edgeTo;
    private final double firstTime;
    final List<PeerState> edges = new ArrayList<>();
    final Map<Long, CustomerAccount> accounts = new LinkedHashMap<>();
    final QuotaShare part = new QuotaShare();
    private final CustomerAccount visitors;
    private final ServerPool fleet = new ServerPool();
    private final List<ServerState> ready = fleet.ready;
    private final Map<String, ActiveRequest> live = new LinkedHashMap<>();
    private final List<ClassLatency> classes = new ArrayList<>();
    private volatile boolean restarted;
    private PolicyActions act;
    long now;
    private long startedAt = -1, handledAt, sweptAt, sync, paceAt, warmRateAt, goodAt;
    private int view, mail;
    private double patience = SILENT_LEAST, retries = RETRY_MOST, mailPlanned;
    private double attemptTime, meanPace, meanDensity, timeouts, warmRate, sentRate, wanted, good, young;

    /** A module for one gateway; {@code seed} is its only source of chance. */
    public GatekeeperPolicy(PolicySettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        incarnation = random.nextInt(1, PeerPacket.INCARNATION_BOUND);
        status = new int[settings.groupSize()];
        edgeTo = new PeerState[settings.groupSize()];
        settings.classes().forEach(kind -> classes.add(new ClassLatency(kind.latencyTarget() * FIRST_GUESS)));
        firstTime = classes.stream().mapToDouble(times -> times.mean).average().orElse(0);
        attemptTime = firstTime;
        double cheapest =
                settings.plans().stream().mapToDouble(CustomerPlan::price).min().orElse(1);
        CustomerPlan free = new CustomerPlan("visitors", 0, 0, 0, 0, 0, 0, cheapest * VISITOR_WORTH, 0, 0);
        visitors = new CustomerAccount(REMOTE_REQUEST_PLAN, free, REMOTE_REQUEST_PLAN, settings.self(), 1, part, 0);
        setPeerMessageLimit(settings.limits().peerMessagesPerSecond());
        sync = bounded((2 + (32 - Integer.numberOfLeadingZeros(status.length)) / 2) / mailPlanned * SECOND);
        meanPace = sync;
    }

    /** Sets the messages a second that may come in; called by the thread that handles events. */
    public void setPeerMessageLimit(double perSecond) {
        mailPlanned = Math.max(1, perSecond * MAIL_SHARE);
    }

    @Override
    public void handle(long now, PolicyEvent event, PolicyActions actions) {
        this.now = now;
        act = actions;
        if (startedAt < 0) {
            begin();
        }
        noticeStall();
        if (now - sweptAt > ACCOUNT_IDLE / 4) { // at any event: a gateway may only hear of customers
            sweptAt = now;
            accounts.values().removeIf(this::forgettable);
        }
        if (event instanceof IncomingRequest e) {
            onRequest(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof PeerMessage e) {
            onPacket(e.from(), e.bytes());
        } else if (event instanceof TimerExpired e && e.token() == SYNC_TIMER) {
            synchronise();
        } else if (event instanceof TimerExpired) {
            act.watchServers(true);
        } else if (event instanceof ServerList e) {
            onServers(e);
        } else if (event instanceof RequestBodyProgress e && live.get(e.request()) != null) {
            live.get(e.request()).onBodyProgress(e.complete(), now);
        } else if (event instanceof ResponseStreamStarted e) {
            onStream(e);
        } else if (event instanceof RequestWithdrawn e && live.get(e.request()) != null) {
            close(live.get(e.request()));
        } else if (event instanceof ForwardedRequestEnded e && live.get(e.request()) != null) {
            onReturned(live.get(e.request()));
        }
    }

    /** Whether a peer has shown that we had a life before this one; may be asked from any thread. */
    public boolean restartDetected() {
        return restarted;
    }

    /** Listed servers that are avoided for their health; none where too many are for that to be believed. */
    public int ejectedServers() {
        return fleet.ignoresEjections(KEEP_IN) ? 0 : fleet.ejectedCount();
    }

    /** What another process that takes our place is told, and tells. */
    public HandoverCounts handoverCounts() {
        return new HandoverCounts(this);
    }

    private void begin() {
        startedAt = now;
        if (settings.limits().peerMessages() && settings.groupSize() > 1) {
            act.setTimer(now + sync, SYNC_TIMER);
            Arrays.stream(neighbours(0, status.length))
                    .filter(peer -> peer >= 0)
                    .forEach(peer -> edge(peer).pendingMembers.add(settings.self())); // a new life asks for counts
        }
        if (settings.pollsDiscovery()) {
            act.watchServers(true);
        }
    }

    /** After an own stall, or without any event for long, nobody else is called silent for that time. */
    private void noticeStall() {
        long gap = now - handledAt;
        handledAt = now;
        if (gap > STALL_SYNCS * sync) {
            for (PeerState edge : edges) {
                edge.awaitingReplySince = edge.awaitingReplySince < 0 ? -1 : edge.awaitingReplySince + gap;
            }
        }
    }

    // ---- Requests: quota first, then worth, then a server ------------------------------------------
    private void onRequest(IncomingRequest request) {
        RequestClass kind = settings.classes().get(request.requestClass());
        CustomerAccount account = request.plan() == REMOTE_REQUEST_PLAN ? visitors : account(request);
        ClassLatency times = classes.get(request.requestClass());
        times.meanUnits += CLASS_SAMPLE * (request.units() - times.meanUnits);
        ActiveRequest taken = new ActiveRequest(request, kind, times, account, now);
        live.put(request.id(), taken);
        refresh(account);
        drain(account);
        if (!withinPlan(account, request.units())) {
            refuse(taken, roomIn(account, request.units()));
            return;
        }
        ServerState box = choose(taken);
        if (box == null || overloaded(taken, box)) {
            refuseUnlessAway(taken, OVERLOAD_ADVICE / 2 + random.nextLong(OVERLOAD_ADVICE));
            return;
        }
        send(taken, box);
        young++;
        spend(taken, taken.request.units());
        retries = Math.min(RETRY_MOST, retries + RETRY_EARNED);
    }

    /** Overload: a request goes only while expected in time; little worth for its work means little room. */
    private boolean overloaded(ActiveRequest taken, ServerState box) {
        double worth = taken.requestClass.value() * taken.account.plan.price() * taken.request.units();
        double density = worth / work(taken);
        meanDensity = meanDensity == 0 ? density : meanDensity + DENSITY_SAMPLE * (density - meanDensity);
        double share = Math.min(WAIT_MOST, WAIT_LEAST + WAIT_SLOPE * density / meanDensity);
        double fill = Math.min(FILL_MOST, FILL_LEAST + FILL_SLOPE * density / meanDensity);
        double most = share * taken.requestClass.latencyTarget();
        if (taken.account == visitors) {
            most = Math.min(most, VISITOR_SLOW * taken.classLatency.bestMean * size(taken));
        }
        return throttled(density / meanDensity)
                || fleet.inFlight() > fill * fleet.concurrencyLimit()
                || expected(taken, box) > most;
    }

    /**
     * Bounds the sum over all gateways at a server by what comes back: of what is wanted, no more goes on
     * than a multiple of the good answers, least worth first, by its root so that all goes while all is well.
     * Gateways by the hundred with under one attempt out each have no bound on attempts that sees a jam. It
     * should catch whatever makes most answers late: a surge, lost capacity, a shared cause, mass restarts.
     * Half may go bad, so hung servers do not set it off; the trial lets it end soon after good answers.
     * It could harm a deployment whose answers are mostly slow by nature against the aim.
     */
    private boolean throttled(double relativeWorth) {
        fadeGood();
        double trial = Math.max(TRIAL, TRIAL_SHARE * wanted);
        double chance = SENDS_PER_GOOD * (good + young + trial) / (wanted + TRIAL);
        wanted++;
        return random.nextDouble() >= chance * Math.sqrt(relativeWorth);
    }

    private void fadeGood() {
        double passed = now - goodAt;
        goodAt = now;
        wanted *= Math.exp(-passed / GOOD_MEMORY);
        good *= Math.exp(-passed / GOOD_MEMORY);
        young *= Math.exp(-passed / (YOUNG * firstTime));
    }

    /**
     * Usual time of this request on a usual server. Without answers it fades to the best mean: a class that
     * is refused for its estimate would never be measured again, whatever drove the estimate up.
     */
    private double work(ActiveRequest taken) {
        ClassLatency times = taken.classLatency;
        double fade = Math.exp(-(now - times.sampledAt) / CLASS_MEMORY);
        return (times.bestMean + (times.mean - times.bestMean) * fade) * size(taken);
    }

    /** What its units say of its time, against a usual request of its class. */
    private static double size(ActiveRequest taken) {
        return Math.max(SIZE_LEAST, Math.min(SIZE_MOST, taken.request.units() / taken.classLatency.meanUnits));
    }

    private void spend(ActiveRequest taken, double units) {
        taken.account.spend(units, now);
        count(taken.account, units, -1);
    }

    /** The fleet has no room, so another region may; what goes there counts here, once, and as open. */
    private void refuseUnlessAway(ActiveRequest taken, long retryAfter) {
        if (!act.forwardToRegion(taken.request.id(), Math.min(settings.limits().maxRetryAfter(), retryAfter))) {
            refuse(taken, retryAfter);
            return;
        }
        if (taken.attempts.isEmpty()) {
            spend(taken, taken.request.units());
        }
        taken.forwarded = true;
        taken.delivered = true;
        changeOpen(taken.account, 1);
    }

    private void onReturned(ActiveRequest taken) {
        taken.forwarded = false;
        refresh(taken.account);
        changeOpen(taken.account, -1);
        close(taken);
    }

    private void refuse(ActiveRequest taken, long retryAfter) {
        act.reject(taken.request.id(), Math.min(settings.limits().maxRetryAfter(), retryAfter));
        close(taken);
    }

    /** Final answer where nothing more can be tried: a refusal where the effect rules let it promise that. */
    private void giveUp(ActiveRequest taken) {
        boolean harmless = taken.requestClass.idempotency() == Idempotency.SAFE
                || taken.requestClass.idempotency() == Idempotency.KEYED
                        && taken.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        if (harmless || !taken.mayHaveRun()) {
            refuseUnlessAway(taken, OVERLOAD_ADVICE / 2);
        } else {
            act.fail(taken.request.id());
            close(taken);
        }
    }

    private void close(ActiveRequest taken) {
        taken.closed = true;
        if (taken.allEnded()) {
            live.remove(taken.request.id());
            if (settings.chargeOnDelivery() && !taken.delivered && !taken.attempts.isEmpty()) {
                drain(taken.account); // its units were counted when it was sent, and were not taken
                spend(taken, -taken.request.units());
            }
        }
    }

    // ---- Plans: the quota, the cap on open attempts, the ceiling -----------------------------------
    CustomerAccount account(long customer, int plan, int first, int spread) {
        CustomerAccount account = accounts.get(customer);
        if (account == null) {
            account = new CustomerAccount(customer, settings.plans().get(plan), plan, first, spread, part, now);
            account.member = inSet(first, spread);
            account.rateLimitTokens = Math.min(
                    account.share(account.plan.rateLimitBurst()),
                    account.share(account.plan.rateLimit()) * (now - startedAt) / SECOND);
            accounts.put(customer, account);
        }
        account.maxMemberCount = Math.max(account.maxMemberCount, spread);
        return account;
    }

    /** The plan and set that a request tells hold; a peer's word of them may come from older settings. */
    private CustomerAccount account(IncomingRequest request) {
        CustomerAccount account =
                account(request.customer(), request.plan(), request.firstMember(), request.memberCount());
        if (account.planIndex != request.plan()
                || account.firstMember != request.firstMember()
                || account.memberCount != request.memberCount()) {
            account.changePlan(settings.plans().get(request.plan()), request);
            account.member = inSet(account.firstMember, account.memberCount);
        }
        return account;
    }

    /** Whether one that comes back later finds what a new one would: idle for long, and nothing used. */
    private boolean forgettable(CustomerAccount account) {
        drain(account);
        CustomerPlan plan = account.plan;
        return account.inFlight == 0
                && now - account.usedAt > ACCOUNT_IDLE
                && (plan.quotaRate() == 0 || account.localCount == 0)
                && (plan.rateLimit() == 0 || account.rateLimitTokens >= account.share(plan.rateLimitBurst()));
    }

    private boolean withinPlan(CustomerAccount account, double units) {
        CustomerPlan plan = account.plan;
        double room = plan.quotaBurst() - account.localCount;
        boolean quota = plan.quotaRate() == 0
                || units <= room
                        && !firstSight(account, units)
                        && (room >= account.raceMargin || random.nextDouble() * account.raceMargin <= room);
        return quota
                && (plan.maxConcurrency() == 0 || openEverywhere(account) + OPEN_CHANCE < plan.maxConcurrency())
                && (plan.rateLimit() == 0 || account.rateLimitTokens >= units);
    }

    /** Time until drain, ceiling and first sight make room; where only others' use can, a guess. */
    private long roomIn(CustomerAccount account, double units) {
        CustomerPlan plan = account.plan;
        double over = account.localCount + units - plan.quotaBurst();
        double wait = plan.quotaRate() > 0 ? over / plan.quotaRate() : 0;
        if (plan.rateLimit() > 0) {
            wait = Math.max(wait, (units - account.rateLimitTokens) / account.share(plan.rateLimit()));
        }
        if (firstSight(account, units)) {
            wait = Math.max(wait, (account.firstSeenAt + crossing(account.memberCount) - now) / SECOND);
        }
        return wait > 0 ? (long) Math.ceil(wait * SECOND) : OVERLOAD_ADVICE / 2;
    }

    private boolean firstSight(CustomerAccount account, double units) {
        return account.unitsSinceFirstSeen > 0
                && now < account.firstSeenAt + crossing(account.memberCount)
                && account.unitsSinceFirstSeen + units > account.share(account.plan.quotaBurst());
    }

    void count(CustomerAccount account, double units, int from) {
        account.add(units, from);
        markDirty(account, from);
    }

    /**
     * Units heard past the burst were let through before the count got there; as many may be under way again.
     * While remembered, the last of the room goes by lot, or hundreds of gateways would all take it. It meets
     * surges, slow crossings and cuts; just after a surge a customer within its quota loses some requests.
     */
    private void noteRace(CustomerAccount account, double units) {
        double burst = account.plan.quotaBurst();
        double over = Math.min(units, account.localCount - burst);
        if (over > 0 && account.plan.quotaRate() > 0) {
            account.raceMargin = Math.min(MARGIN_MOST * burst, account.raceMargin + over);
        }
        account.localCount = Math.min(account.localCount, (1 + OVERSHOOT) * burst);
    }

    /**
     * Drains {@code localCount} at the quota's rate, less the part of members that are cut off, but not below
     * nought, as if nothing unheard of were under way: surges would go through that much longer.
     */
    void drain(CustomerAccount account) {
        double passed = (now - account.drainedAt) / SECOND;
        account.drainedAt = now;
        CustomerPlan plan = account.plan;
        double drained = plan.quotaRate() * (1 - account.unreachableShare) * passed;
        account.drain(drained);
        account.rateLimitTokens = Math.min(
                account.share(plan.rateLimitBurst()),
                account.rateLimitTokens + account.share(plan.rateLimit()) * passed);
        account.decayBranches(Math.exp(-passed * SECOND / BRANCH_MEMORY));
        account.raceMargin *= Math.exp(-passed
                * SECOND
                / (account.localCount < QUIET_COUNT * plan.quotaBurst() ? QUIET_MEMORY : MARGIN_MEMORY));
    }

    /** Worst time for a count to cross the heap: 2(log2(N+1)-1)(Δs+Δt), with whole levels. */
    private long crossing(int members) {
        int depth = 32 - Integer.numberOfLeadingZeros(members);
        return 2L * (depth - 1) * ((long) meanPace + MAIL_TIME);
    }

    private boolean sharesOpen(CustomerAccount account) {
        return account.plan.maxConcurrency() > 0 && crossing(account.memberCount) < OPEN_CROSSING * firstTime;
    }

    /** Attempts open at all members: as told where that is in time, else by what their rate keeps out. */
    private double openEverywhere(CustomerAccount account) {
        double heard = account.branchUnits[0] + account.branchUnits[1] + account.branchUnits[2];
        return sharesOpen(account)
                ? account.inFlightExcept(-1)
                : account.inFlight + heard / BRANCH_MEMORY * attemptTime;
    }

    private void changeOpen(CustomerAccount account, int by) {
        account.inFlight += by;
        if (sharesOpen(account)) {
            markDirty(account, -1);
        }
    }

    // ---- The heap: who is whose neighbour ----------------------------------------------------------
    /** Brings an account's neighbours up to the present view of who is heard. */
    void refresh(CustomerAccount account) {
        if (account.membershipView == view) {
            return;
        }
        account.membershipView = view;
        account.unreachableShare = account.silentShare(status);
        int[] near = neighbours(account.firstMember, account.memberCount);
        if (Arrays.equals(account.neighbours, near)) {
            return;
        }
        account.rewire(near);
        markDirty(account, -1);
    }

    void markDirty(CustomerAccount account, int butFor) {
        for (int peer : account.neighbours) {
            if (peer >= 0 && peer != butFor) {
                edge(peer).pendingAccounts.add(account);
            }
        }
    }

    /**
     * Parent, left and right; -1 for none. The heard members by number form a binary tree, heap-ordered by a
     * fixed rank of the number, so that all customers' sets share most edges. A parent outranks its child:
     * links that both ends agree on form no ring, whatever each thinks of third members.
     */
    int[] neighbours(int first, int spread) {
        int[] lower = side(first, spread, -1);
        int[] upper = side(first, spread, 1);
        int parent = lower[0] < 0 || upper[0] >= 0 && outranks(lower[0], upper[0]) ? upper[0] : lower[0];
        return inSet(first, spread) ? new int[] {parent, lower[1], upper[1]} : new int[] {-1, -1, -1};
    }

    private boolean inSet(int first, int spread) {
        return Math.floorMod(settings.self() - first, status.length) < spread;
    }

    /** On one side: the nearest member that outranks us, and the highest of those before it. */
    private int[] side(int first, int spread, int step) {
        int self = settings.self();
        int child = -1;
        for (int at = self + step; at >= 0 && at < status.length; at += step) {
            if (Math.floorMod(at - first, status.length) < spread && (status[at] & 1) == 0) {
                if (outranks(at, self)) {
                    return new int[] {at, child};
                }
                child = child < 0 || outranks(at, child) ? at : child;
            }
        }
        return new int[] {-1, child};
    }

    private static boolean outranks(int one, int other) {
        int rank = Integer.numberOfTrailingZeros(one + 1);
        int otherRank = Integer.numberOfTrailingZeros(other + 1);
        return rank > otherRank || rank == otherRank && one < other;
    }

    private PeerState edge(int peer) {
        if (edgeTo[peer] == null) {
            edgeTo[peer] = new PeerState(peer, sync, now);
            edges.add(edgeTo[peer]);
        }
        return edgeTo[peer];
    }

    // ---- Members heard and silent ------------------------------------------------------------------
    /** Takes in how often a member has changed; the higher version wins, so no rumour goes round. */
    private void learn(int member, int version, int from) {
        if (member < 0 || member >= status.length || version <= status[member] || version > MOST_CHANGES) {
            return;
        }
        boolean changed = (version & 1) != (status[member] & 1);
        status[member] = version;
        for (PeerState edge : edges) {
            if (edge.peer != from && edge.peer != member && (status[edge.peer] & 1) == 0) {
                edge.pendingMembers.add(member);
            }
        }
        if (member == settings.self()) {
            learn(member, version + (version & 1), -1); // we are not silent
        } else if (changed) {
            view++;
            PeerState edge = edgeTo[member];
            if (edge != null && (version & 1) == 1) {
                edge.awaitingReplySince = -1; // what it may yet have taken in counts twice if it goes another way
                List<CustomerAccount> moving = new ArrayList<>(edge.pendingAccounts);
                edge.pendingAccounts.clear();
                moving.forEach(this::refresh); // what waits goes to those who take its place
            }
        }
    }

    // ---- Packets: send, take in, acknowledge -------------------------------------------------------
    /** Every Δs, which the mail limit sets: send each neighbour its counters, judge who is silent. */
    private void synchronise() {
        adaptPace();
        act.setTimer(now + sync, SYNC_TIMER); // before all that might fail: without it nobody is told again
        patience = Math.max(SILENT_LEAST, patience * SILENT_FADE);
        double paces = 0;
        int heard = 0;
        List<Integer> unheard = new ArrayList<>();
        for (int i = 0; i < edges.size(); i++) { // packing may bring up further edges
            PeerState edge = edges.get(i);
            boolean out = (status[edge.peer] & 1) == 1;
            long pace = out ? PROBE_PACE : Math.max(sync, edge.syncInterval);
            if (!out) {
                heard++;
                paces += pace;
                if (edge.awaitingReplySince >= 0
                        && now - edge.awaitingReplySince > Math.max(patience, SILENT_SYNCS * pace)) {
                    unheard.add(edge.peer);
                }
            }
            if (now - edge.sentAt >= pace - sync / 4 && due(edge, pace, out)) {
                pack(edge);
            }
        }
        unheard.forEach(peer -> learn(peer, status[peer] | 1, -1));
        meanPace = heard == 0 ? sync : paces / heard;
    }

    /** Δs, which neighbours are told, follows the mail that comes towards the planned share. */
    private void adaptPace() {
        if (now - paceAt >= PACE_LOOK) {
            double used = mail * SECOND / (now - paceAt) / mailPlanned;
            sync = bounded(sync * Math.max(1 / PACE_STEP, Math.min(PACE_STEP, used)));
            mail = 0;
            paceAt = now;
        }
    }

    private static long bounded(double pace) {
        return (long) Math.max(SYNC_MIN, Math.min(SYNC_MAX, pace));
    }

    private boolean due(PeerState edge, long pace, boolean out) {
        return out
                || !edge.pendingAccounts.isEmpty()
                || !edge.pendingMembers.isEmpty()
                || edge.replyOwedSince >= 0 && now - edge.replyOwedSince >= ANSWER_SYNCS * pace
                || edge.awaitingReplySince >= 0 && now - edge.sentAt >= ASK_SYNCS * pace;
    }

    private void pack(PeerState edge) {
        List<Integer> told = edge.takePendingMembers(PeerPacket.PeerPacketWriter.maxMembers());
        List<PeerPacket.MemberVersion> news = told.stream()
                .map(m -> new PeerPacket.MemberVersion(m, status[m]))
                .toList();
        boolean asks = edge.awaitingReplySince >= 0
                || !told.isEmpty()
                || !edge.pendingAccounts.isEmpty()
                || (status[edge.peer] & 1) == 1;
        PeerPacket.PeerPacketWriter packet = new PeerPacket.PeerPacketWriter(
                edge.aliases,
                incarnation,
                edge.peerIncarnation,
                edge.acceptedBits,
                ++edge.lastSentNumber,
                edge.lastReceivedNumber,
                asks,
                (int) (sync / MILLI),
                news,
                settings.limits().peerMessageBytes());
        List<CarriedUnits> carried = new ArrayList<>();
        List<CustomerAccount> due = new ArrayList<>(edge.pendingAccounts);
        for (int i = 0; i < due.size() && packet.hasRoom(); i++) {
            CustomerAccount account = due.get(i);
            refresh(account);
            int slot = account.slotOf(edge.peer);
            if (slot >= 0 && account.hasUnreported(slot, sharesOpen(account))) {
                carried.add(carry(packet, account, slot));
            }
            edge.pendingAccounts.remove(account);
        }
        if (!carried.isEmpty() || !told.isEmpty()) {
            edge.unacknowledged.add(new UnacknowledgedPacket(edge.lastSentNumber, carried, told));
        }
        if (asks && edge.awaitingReplySince < 0) {
            edge.awaitingReplySince = now;
        }
        edge.replyOwedSince = -1;
        edge.sentAt = now;
        act.sendToPeer(edge.peer, packet.finish());
    }

    private CarriedUnits carry(PeerPacket.PeerPacketWriter packet, CustomerAccount account, int slot) {
        drain(account);
        double delta = PeerPacket.roundToWire(account.pending[slot]);
        boolean count = account.countRequested[slot];
        account.pending[slot] -= delta;
        account.countRequested[slot] = false;
        account.reportedConcurrency[slot] = account.inFlightExcept(slot);
        packet.add(new PeerPacket.AccountEntry(
                account.customer,
                account.planIndex,
                account.firstMember,
                account.memberCount,
                delta,
                count ? Double.valueOf(account.localCount - delta) : null,
                sharesOpen(account) ? Integer.valueOf(account.reportedConcurrency[slot]) : null,
                account.pendingGrant[slot]));
        account.pendingGrant[slot] = 0;
        return new CarriedUnits(account, delta, count);
    }

    /** Takes in a packet whole or not at all: garbled, repeated, overtaken or older ones change nothing. */
    private void onPacket(int from, byte[] bytes) {
        PeerPacket packet = PeerPacket.read(bytes);
        if (packet == null || from == settings.self() || from < 0 || from >= status.length) {
            return;
        }
        mail++;
        PeerState edge = edge(from);
        boolean newLife = edge.peerIncarnation != packet.incarnation();
        if (!newLife
                        && (packet.number() <= edge.lastReceivedNumber
                                || packet.number() > edge.lastReceivedNumber + MOST_AHEAD)
                || packet.incarnation() == edge.previousIncarnation) {
            return;
        }
        // A new life counts from one. Else a second packet has to say the same: one spoilt one that passes
        // its check would make all that come after it look old.
        if (newLife
                && edge.peerIncarnation != 0
                && packet.number() > FIRST_PACKETS
                && edge.unconfirmedIncarnation != packet.incarnation()) {
            edge.unconfirmedIncarnation = packet.incarnation();
            return;
        }
        boolean back = (status[from] & 1) == 1;
        if (back) { // a false alarm, or it is back, and has missed all news
            patience = Math.min(SILENT_MOST, 2 * patience);
            learn(from, status[from] + 1, -1);
            edge.queueAllMembers(status);
        }
        if (newLife) {
            meet(edge, packet.incarnation());
        }
        if (back || edge.previousIncarnation != 0 && newLife) {
            tellCounts(edge);
        }
        edge.syncInterval = Math.min(SYNC_MAX, packet.syncIntervalMillis() * MILLI);
        if (packet.replyRequested() && edge.replyOwedSince < 0) {
            edge.replyOwedSince = now;
        }
        edge.receive(packet.number());
        if (packet.receiverIncarnation() == incarnation) {
            takeBack(edge, edge.acknowledge(packet.acknowledgedNumber(), packet.acceptedBits()));
            edge.awaitingReplySince = edge.unacknowledged.isEmpty() ? -1 : now;
        } else if (packet.receiverIncarnation() != 0) {
            restarted = true;
            return; // meant for our former life; our answer tells of the new one
        }
        edge.acceptedBits |= 1;
        packet.members().forEach(news -> learn(news.member(), news.version(), from));
        packet.entries().stream()
                .map(edge.aliases::resolve)
                .filter(Objects::nonNull)
                .forEach(entry -> takeIn(entry, from));
    }

    /** A neighbour's new life knows nothing: what it had not acknowledged goes again. */
    private void meet(PeerState edge, int peerIncarnation) {
        if (edge.peerIncarnation != 0) {
            takeBack(edge, edge.takeUnacknowledged());
        }
        edge.beginIncarnation(peerIncarnation);
        edge.queueAllMembers(status);
    }

    /** To a neighbour that has started anew, or was out of the heap and missed what went round it. */
    private void tellCounts(PeerState edge) {
        for (CustomerAccount account : accounts.values()) {
            refresh(account);
            int slot = account.slotOf(edge.peer);
            if (slot >= 0 && account.localCount > TELL_COUNT * account.plan.quotaBurst()) {
                account.countRequested[slot] = true;
                edge.pendingAccounts.add(account);
            }
        }
    }

    void takeBack(PeerState edge, List<UnacknowledgedPacket> lost) {
        for (UnacknowledgedPacket packet : lost) {
            edge.pendingMembers.addAll(packet.members());
            packet.carried().stream()
                    .filter(c -> c.account().restoreUnits(edge.peer, c))
                    .forEach(c -> edge.pendingAccounts.add(c.account()));
        }
    }

    /**
     * The paper's receipt of an update: into every counter but the one facing its sender. Where the sender
     * is no neighbour in our view, its units are counted here and go no further: nothing can go round.
     */
    private void takeIn(PeerPacket.AccountEntry entry, int from) {
        if (entry.plan() < 0
                || entry.plan() >= settings.plans().size()
                || entry.memberCount() < 1
                || entry.memberCount() > status.length
                || entry.firstMember() < 0
                || entry.firstMember() >= status.length
                || entry.customer() >>> CUSTOMER_BITS != 0
                || entry.inFlight() != null && entry.inFlight() < 0) {
            return; // what we would pass on has to fit into a packet
        }
        CustomerAccount account = account(entry.customer(), entry.plan(), entry.firstMember(), entry.memberCount());
        refresh(account);
        drain(account);
        int slot = account.slotOf(from);
        account.usedAt = now;
        if (slot < 0) {
            account.localCount += entry.delta();
            noteRace(account, entry.delta());
            return;
        } else if (entry.count() != null) {
            account.localCount = Math.max(account.localCount, entry.count() + account.pending[slot]);
        }
        count(account, entry.delta(), from);
        noteRace(account, entry.delta());
        account.branchUnits[slot] += Math.max(0, entry.delta());
        passCeiling(account, slot, entry);
        if (entry.inFlight() != null && account.plan.maxConcurrency() > 0) {
            account.branchConcurrency[slot] = entry.inFlight();
            changeOpen(account, 0);
        }
    }

    /**
     * Spare units of the ceiling follow the use: they leave our store before they are told, are never sent
     * again and lift no store past its share, so a loss or a restart can only lower the sum.
     */
    private void passCeiling(CustomerAccount account, int slot, PeerPacket.AccountEntry entry) {
        double share = account.share(account.plan.rateLimitBurst());
        account.rateLimitTokens = Math.min(share, account.rateLimitTokens + Math.max(0, entry.grant()));
        double spare = PeerPacket.roundToWire(Math.min(entry.delta(), account.rateLimitTokens - CEILING_SPARE * share));
        if (account.plan.rateLimit() > 0 && spare > 0) {
            account.rateLimitTokens -= spare;
            account.pendingGrant[slot] += spare;
            edge(account.neighbours[slot]).pendingAccounts.add(account);
        }
    }

    // ---- Servers: the list, the choice, cold starts, health ----------------------------------------
    private void onServers(ServerList list) {
        if (list.scope() == ServerListScope.FAILED && settings.pollsDiscovery()) {
            act.setTimer(now + ASK_AGAIN, ASK_TIMER);
        }
        for (ServerState fresh : fleet.apply(list, Math.max(LIMIT_LEAST, LIMIT_START / status.length))) {
            fresh.warmUpCredit = -random.nextDouble() * attemptTime;
            fresh.warmUpCreditAt = now;
        }
    }

    private int window() {
        int least = Math.max(WINDOW_LEAST, (WINDOW_COVER * ready.size() - 1) / status.length + 1);
        return Math.min(ready.size(), Math.max(least, (int) (WINDOW * sentRate)));
    }

    /**
     * The server with the least expected time, of a sample; one that is out gets a single trial when due.
     * A gateway with few requests would know none of many servers, so it keeps to a window of their sorted
     * list from its own place; all windows load all alike. Beyond it looks while none in it may be used, but
     * never at cold servers, whose budgets add up over windows. It harms while several of the few are slow.
     */
    private ServerState choose(ActiveRequest taken) {
        boolean ignoreOut = fleet.ignoresEjections(KEEP_IN);
        ServerState best = null;
        double least = Double.MAX_VALUE;
        int window = window();
        int place = (int) ((long) settings.self() * ready.size() / status.length);
        int turn = window == 0 ? 0 : random.nextInt(window);
        int looks = 0;
        for (int i = 0; i < ready.size() && looks < SAMPLED && (i < window || looks == 0); i++) {
            ServerState box = ready.get((place + (i < window ? (turn + i) % window : i)) % ready.size());
            if (i >= window && coldShare(box) < 1
                    || box.inFlight > 0 && box.inFlight + 1 > box.concurrencyLimit
                    || taken.wasSentTo(box)
                    || !maySend(taken, box)) {
                continue;
            }
            if (box.isEjected() && !ignoreOut) {
                if (now < box.ejectedUntil || box.inFlight > 0 || !taken.mayTryEjected()) {
                    continue;
                }
                return box;
            }
            looks++;
            double cost = cost(taken, box);
            if (cost < least) {
                least = cost;
                best = box;
            }
        }
        return best;
    }

    private double cost(ActiveRequest taken, ServerState box) {
        return Math.max(work(taken) * slowness(box) * (box.inFlight + 1), expected(taken, box))
                * (1 + ERROR_COST * box.errorRate)
                * (box.listing.zone() == settings.zone() ? 1 : OTHER_ZONE)
                * (1 + JITTER * random.nextDouble());
    }

    /** Expected time there: observed latency, by what is out there now against what usually was. */
    private double expected(ActiveRequest taken, ServerState box) {
        double usual = work(taken) * slowness(box) * (box.inFlight + 1) / (box.meanInFlight + 1);
        return box.inFlight == 0 ? usual : Math.max(usual, now - box.noProgressSince);
    }

    /** Latency there against the usual; an old figure fades, so that a server once slow is tried again. */
    private double slowness(ServerState box) {
        return 1 + (box.latencyRatio - 1) * Math.exp(-(now - box.sampledAt) / SLOWNESS_MEMORY);
    }

    /** The least share of its capacity that a started server may count on; 1 when it is warm. */
    private double coldShare(ServerState box) {
        double from = Math.max(COLD_LEAST, settings.rules().coldCapacityShare());
        double age = (double) Math.max(0, now - box.listing.startedAt())
                / settings.rules().warmUpTime();
        return box.listing.startedAt() > 0 && age < 1 ? from + (1 - from) * age : 1;
    }

    /**
     * Our part of the fall budget goes by our own mean on warm servers, which are the fleet's share of our
     * window, so that the parts add up to the whole. Taken as all of the window they left a release's new
     * servers idle while the few warm ones were jammed. After a start the mean is over the time since.
     * Nothing is saved up, and a random start keeps hundreds from sending their first at once.
     */
    private boolean withinFall(ServerState box) {
        double share = coldShare(box);
        if (share == 1) {
            return true;
        }
        double multiple = FALL_USED * settings.rules().coldOverloadMultiple() * share;
        double rate = warmRate / (1 - Math.exp(-Math.max(SECOND, now - startedAt) / RATE_MEMORY));
        box.warmUpCredit = Math.min(0, box.warmUpCredit + multiple * rate * (now - box.warmUpCreditAt) / SECOND);
        box.warmUpCreditAt = now;
        return box.warmUpCredit >= 0;
    }

    private void noteSent(ServerState box, double work) {
        double fade = Math.exp(-(now - warmRateAt) / RATE_MEMORY);
        warmRateAt = now;
        warmRate *= fade;
        sentRate = sentRate * fade + SECOND / RATE_MEMORY;
        if (coldShare(box) < 1) {
            box.warmUpCredit -= work;
        } else {
            double warm = ready.stream().filter(other -> coldShare(other) == 1).count();
            warmRate += work / (RATE_MEMORY / SECOND) / Math.max(1, window() * warm / ready.size());
        }
    }

    private void judge(ServerState box, AttemptOutcome outcome) {
        // Being turned away says nothing of health where its line may be full of our own; where nothing of
        // ours is out it is of no use to us now, though it answers faster than any and so looks free.
        if (outcome == AttemptOutcome.CANCELLED
                || outcome == AttemptOutcome.NOT_SENT
                || outcome == AttemptOutcome.OVERLOADED && box.inFlight > 0) {
            return;
        }
        boolean good = outcome == AttemptOutcome.OK;
        box.errorRate += SAMPLE * ((good ? 0 : 1) - box.errorRate);
        box.consecutiveFailures = good ? 0 : box.consecutiveFailures + 1;
        box.consecutiveSuccesses = good ? box.consecutiveSuccesses + 1 : 0;
        if (box.isEjected() && good && box.consecutiveSuccesses >= GOOD_BACK) {
            box.ejectedUntil = -1;
            box.errorRate = Math.min(box.errorRate, ERRORS_OUT / 2);
            box.ejectionCount = Math.max(0, box.ejectionCount - 1);
        } else if (!good
                && (box.isEjected() || box.consecutiveFailures >= FAILURES_OUT || box.errorRate > ERRORS_OUT)) {
            box.ejectedUntil = now + Math.min(OUT_MOST, OUT_FIRST << Math.min(OUT_DOUBLED, box.ejectionCount));
            box.ejectionCount++;
        }
    }

    // ---- Attempts: one guard for every choice, time-outs, what follows an outcome --------------------
    /** The effect rules, drains, attempt limits and the fall budget; no server is chosen without this. */
    private boolean maySend(ActiveRequest taken, ServerState box) {
        if (taken.closed
                || taken.streaming
                || box.listing.status() != ServerStatus.READY
                || taken.attempts.size() >= settings.limits().maxAttempts()
                || timeLeft(taken) <= 0
                || !withinFall(box)) {
            return false;
        }
        for (PolicyAttempt attempt : taken.attempts) {
            if (!attempt.ended && !settings.limits().hedging()) {
                return false;
            }
            if ((attempt.mayHaveRun || !attempt.ended) && !mayRepeat(taken, attempt, box)) {
                return false;
            }
        }
        return true;
    }

    private boolean mayRepeat(ActiveRequest taken, PolicyAttempt attempt, ServerState box) {
        ListedServer before = attempt.server.listing;
        boolean sameGroup =
                switch (taken.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> before.zone() == box.listing.zone();
                    case CELL -> before.cell() == box.listing.cell() && before.zone() == box.listing.zone();
                };
        return switch (taken.requestClass.idempotency()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED ->
                sameGroup && now - attempt.sentAt + settings.clockTick() < taken.requestClass.deduplicationWindow();
        };
    }

    private long timeLeft(ActiveRequest taken) {
        return taken.request.deadline() - now - 2 * settings.clockTick();
    }

    /** To a server that {@link #choose} has just offered, and so one that {@link #maySend} allows. */
    private void send(ActiveRequest taken, ServerState box) {
        long timeout = timeLeft(taken);
        if (taken.requestClass.idempotency() != Idempotency.UNSAFE
                && taken.attempts.size() + 1 < settings.limits().maxAttempts()) {
            double patience = (1 + TIMEOUT_WEIGHT * timeouts)
                    * Math.max(PATIENCE * work(taken), PATIENCE_AIM * taken.requestClass.latencyTarget());
            if (now + patience + work(taken) < taken.arrivedAt + taken.requestClass.latencyTarget()) {
                timeout = Math.min(timeout, (long) patience);
            }
        }
        act.send(taken.request.id(), box.listing.id(), timeout);
        taken.attempts.add(new PolicyAttempt(box, now));
        noteSent(box, work(taken));
        box.meanInFlight += SAMPLE * (box.inFlight - box.meanInFlight);
        if (box.inFlight == 0) {
            box.noProgressSince = now;
        }
        box.inFlight++;
        changeOpen(taken.account, 1);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        ActiveRequest taken = live.get(ended.request());
        if (taken == null || ended.attempt() >= taken.attempts.size()) {
            return;
        }
        PolicyAttempt attempt = taken.attempts.get(ended.attempt());
        attempt.ended = true;
        attempt.mayHaveRun = !ended.outcome().neverRan();
        taken.delivered |=
                ended.outcome() != AttemptOutcome.CONNECT_FAILED && ended.outcome() != AttemptOutcome.NOT_SENT;
        attempt.server.inFlight -= attempt.excludedFromLoad ? 0 : 1;
        attemptTime += CLASS_SAMPLE * (ended.elapsed() - attemptTime);
        refresh(taken.account);
        changeOpen(taken.account, -1);
        judge(attempt.server, ended.outcome());
        bound(attempt, ended.outcome(), ended.elapsed() > slow(taken));
        timeouts += CLASS_SAMPLE * ((ended.outcome() == AttemptOutcome.TIMEOUT ? 1 : 0) - timeouts);
        if (ended.outcome() == AttemptOutcome.OK || ended.outcome() == AttemptOutcome.ERROR) {
            attempt.server.noProgressSince = now;
        }
        if (ended.attempt() == 0
                && (ended.outcome() == AttemptOutcome.ERROR
                        || ended.outcome() == AttemptOutcome.OK
                                && ended.elapsed() <= SLOW * taken.requestClass.latencyTarget())) {
            fadeGood();
            good++; // an error in time speaks of the server, not of the load
        }
        if (ended.outcome() == AttemptOutcome.OK && !taken.streaming) {
            learn(taken, attempt.server, ended.elapsed());
        } else if (ended.outcome() == AttemptOutcome.TIMEOUT) {
            learnBox(attempt.server, CENSORED * ended.elapsed() / work(taken)); // says nothing of the class
        }
        if (ended.actualUnits() > 0 && !taken.unitsSettled) {
            taken.unitsSettled = true;
            drain(taken.account);
            count(taken.account, ended.actualUnits() - taken.request.units(), -1);
        }
        if (ended.requestOver() || taken.closed) {
            close(taken);
        } else if (taken.allEnded()) {
            tryAgain(taken);
        }
    }

    private double slow(ActiveRequest taken) {
        double best = taken.classLatency.bestMean * Math.max(1, taken.request.units() / taken.classLatency.meanUnits);
        return Math.min(
                SLOW * taken.requestClass.latencyTarget(),
                Math.max(SLOW_LEAST * taken.requestClass.latencyTarget(), SLOW_BEST * best));
    }

    /**
     * The in-flight bound: answers that come late or not at all, from whatever cause, mean too much is out.
     * It should also catch noisy neighbours and lost capacity; it could starve a server slow by nature.
     */
    private void bound(PolicyAttempt attempt, AttemptOutcome outcome, boolean slow) {
        ServerState box = attempt.server;
        if (outcome == AttemptOutcome.OK && !slow) {
            if (box.inFlight + 1 > box.concurrencyLimit / 2) {
                box.concurrencyLimit += LIMIT_UP / box.concurrencyLimit;
            }
        } else if (attempt.sentAt >= box.limitReducedAt
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT) {
            box.limitReducedAt = now;
            double left = outcome == AttemptOutcome.OVERLOADED ? LIMIT_FULL : LIMIT_SLOW;
            box.concurrencyLimit = Math.max(1, box.concurrencyLimit * left);
        }
    }

    private void learn(ActiveRequest taken, ServerState box, double took) {
        double work = work(taken);
        learnBox(box, took / work);
        ClassLatency times = taken.classLatency;
        double ratio = Math.min(RATIO_CLASS, took / work);
        times.mean += weight(CLASS_SAMPLE, times.sampledAt, CLASS_MEMORY) * (ratio - 1) * times.mean;
        times.sampledAt = now;
        times.bestMean = Math.min(times.mean, times.bestMean + BEST_FADE * (times.mean - times.bestMean));
    }

    private void learnBox(ServerState box, double ratio) {
        double heard = Math.min(RATIO_BOX, ratio);
        double weight = weight(SAMPLE, box.sampledAt, SLOWNESS_MEMORY);
        box.latencyRatio = slowness(box) + weight * (heard - slowness(box));
        box.sampledAt = now;
    }

    /** A rare answer says more of now than what was learnt long before: after a jam that takes seconds. */
    private double weight(double usual, long learntAt, double memory) {
        return STALE_SAMPLE + (usual - STALE_SAMPLE) * Math.exp(-(now - learntAt) / memory);
    }

    private void tryAgain(ActiveRequest taken) {
        ServerState box = retries >= 1 ? choose(taken) : null;
        if (box != null) {
            send(taken, box);
            retries--;
        } else {
            giveUp(taken);
        }
    }

    private void onStream(ResponseStreamStarted started) {
        ActiveRequest taken = live.get(started.request());
        if (taken != null && started.attempt() < taken.attempts.size()) {
            PolicyAttempt attempt = taken.attempts.get(started.attempt());
            ServerState box = attempt.server;
            box.inFlight -= attempt.excludedFromLoad ? 0 : 1; // what still comes is no work there
            attempt.excludedFromLoad = true;
            box.noProgressSince = now;
            learn(taken, box, started.elapsed());
            taken.streaming = true;
        }
    }
}
