package reedmux.gatekeeper.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.common.quota.HeapCounter;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/** What a {@link GatekeeperPolicy} remembers; it holds values and decides nothing. */
public final class PolicyState {

    private PolicyState() {}

    /** Which part of this gateway's shares is ours: all, but while another process is the gateway too. */
    static final class QuotaShare {
        double fraction = 1;
    }

    /** A customer here: the paper's four counters, and what the limits beside the quota need. */
    public static final class CustomerAccount extends HeapCounter {
        final long customer;
        CustomerPlan plan;
        int planIndex;
        int firstMember;
        int memberCount;
        /** The most members that anybody has told of: a share is never larger than for all of these. */
        int maxMemberCount;
        /** Whether we are one of its gateways. */
        boolean member;

        double[] branchUnits = new double[3];
        int[] branchConcurrency = new int[3];
        int[] reportedConcurrency = new int[3];
        double[] pendingGrant = new double[3];
        boolean[] countRequested = new boolean[3];
        double unreachableShare;
        double raceMargin;
        double unitsSinceFirstSeen;
        double rateLimitTokens;
        /** Counted since the twin was told last. */
        double unreportedToHandover;

        int inFlight;
        int membershipView = -1;
        private final QuotaShare quotaShare;
        long firstSeenAt;
        long drainedAt;
        long usedAt;

        CustomerAccount(
                long customer, CustomerPlan plan, int planIndex, int first, int spread, QuotaShare part, long now) {
            this.quotaShare = part;
            this.customer = customer;
            this.plan = plan;
            this.planIndex = planIndex;
            this.firstMember = first;
            this.memberCount = spread;
            maxMemberCount = spread;
            firstSeenAt = drainedAt = usedAt = now;
        }

        /** Its plan, or its set, is another one from now on; what was counted stays. */
        void changePlan(CustomerPlan told, IncomingRequest request) {
            plan = told;
            planIndex = request.plan();
            firstMember = request.firstMember();
            memberCount = request.memberCount();
            rateLimitTokens = Math.max(0, rateLimitTokens); // where the former plan had none it says nothing
            membershipView = -1;
        }

        /** A member's even part of an amount; whoever is none has no part. */
        double share(double amount) {
            return member ? amount * quotaShare.fraction / maxMemberCount : 0;
        }

        @Override
        public void add(double units, int from) {
            super.add(units, from);
            unreportedToHandover += from == HandoverCounts.HANDOVER_SOURCE ? 0 : units;
        }

        void spend(double units, long now) {
            unitsSinceFirstSeen += units;
            rateLimitTokens -= units;
            usedAt = now;
        }

        /** Whether anything is still to be told to a neighbour. */
        boolean hasUnreported(int slot, boolean sharesOpen) {
            return PeerPacket.roundToWire(pending[slot]) != 0
                    || countRequested[slot]
                    || pendingGrant[slot] > 0
                    || sharesOpen && inFlightExcept(slot) != reportedConcurrency[slot];
        }

        @Override
        public void rewire(int[] next) {
            int[] old = neighbours;
            double[] oldBranch = branchUnits;
            super.rewire(next);
            branchUnits = new double[3];
            branchConcurrency = new int[3];
            reportedConcurrency = new int[3];
            pendingGrant = new double[3];
            countRequested = new boolean[3];
            for (int i = 0; i < 3; i++) {
                int before = slotIn(old, neighbours[i]);
                branchUnits[i] = before >= 0 ? oldBranch[before] : 0;
            }
        }

        /** Puts what a lost packet carried back into the counter facing the peer, if there still is one. */
        boolean restoreUnits(int peer, CarriedUnits lost) {
            int slot = slotOf(peer);
            if (slot >= 0) {
                pending[slot] += lost.units;
                countRequested[slot] |= lost.countIncluded;
                reportedConcurrency[slot] = -1;
            }
            return slot >= 0;
        }

        /** Open attempts here and behind all neighbours but one, or behind all at -1. */
        int inFlightExcept(int slot) {
            return inFlight
                    + branchConcurrency[0]
                    + branchConcurrency[1]
                    + branchConcurrency[2]
                    - (slot < 0 ? 0 : branchConcurrency[slot]);
        }

        void decayBranches(double by) {
            for (int i = 0; i < 3; i++) {
                branchUnits[i] *= by;
            }
        }

        double silentShare(int[] status) {
            int count = 0;
            for (int i = 0; i < memberCount; i++) {
                count += status[(firstMember + i) % status.length] & 1;
            }
            return (double) count / memberCount;
        }
    }

    /** What a packet carried for one customer, kept until it is acknowledged. */
    public record CarriedUnits(CustomerAccount account, double units, boolean countIncluded) {}

    /** An unacknowledged packet. */
    public record UnacknowledgedPacket(long number, List<CarriedUnits> carried, List<Integer> members) {}

    /** The link to another gateway; times are -1 while there is nothing to wait for. */
    static final class PeerState {
        final int peer;
        final Set<CustomerAccount> pendingAccounts = new LinkedHashSet<>();
        final Set<Integer> pendingMembers = new LinkedHashSet<>();
        final PeerPacket.CustomerAliases aliases = new PeerPacket.CustomerAliases();
        final ArrayDeque<UnacknowledgedPacket> unacknowledged = new ArrayDeque<>();
        long syncInterval;
        long sentAt;
        long awaitingReplySince = -1;
        long replyOwedSince = -1;
        long lastSentNumber;
        int peerIncarnation;
        int previousIncarnation;
        long lastReceivedNumber;
        /** An incarnation that one packet has told of, and none since. */
        int unconfirmedIncarnation;

        int acceptedBits;

        PeerState(int peer, long pace, long now) {
            this.peer = peer;
            this.syncInterval = pace;
            sentAt = now - pace;
        }

        /** The peer's new life: nothing received yet, and no names. */
        void beginIncarnation(int incarnation) {
            if (peerIncarnation != 0) {
                aliases.clear();
            }
            previousIncarnation = peerIncarnation;
            peerIncarnation = incarnation;
            lastReceivedNumber = 0;
            acceptedBits = 0;
        }

        /** Moves the window of what was accepted up to a packet just received. */
        void receive(long number) {
            long steps = number - lastReceivedNumber;
            acceptedBits = steps >= PeerPacket.ACK_WINDOW_PACKETS
                    ? 0
                    : acceptedBits << steps & PeerPacket.INCARNATION_BOUND - 1;
            lastReceivedNumber = number;
        }

        /** Packets up to the highest number that were not taken in, and never will be. */
        List<UnacknowledgedPacket> acknowledge(long highest, int bits) {
            List<UnacknowledgedPacket> lost = new ArrayList<>();
            while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= highest) {
                UnacknowledgedPacket packet = unacknowledged.poll();
                long age = highest - packet.number();
                if (age < PeerPacket.ACK_WINDOW_PACKETS && (bits >>> age & 1) == 0) {
                    lost.add(packet);
                } else {
                    aliases.onAcknowledged(packet.number());
                }
            }
            return lost;
        }

        /** All packets without an answer, which are waited for no longer. */
        List<UnacknowledgedPacket> takeUnacknowledged() {
            List<UnacknowledgedPacket> all = new ArrayList<>(unacknowledged);
            unacknowledged.clear();
            awaitingReplySince = -1;
            return all;
        }

        /** All that is known of members is news to this peer. */
        void queueAllMembers(int[] status) {
            for (int member = 0; member < status.length; member++) {
                if (status[member] > 0) {
                    pendingMembers.add(member);
                }
            }
        }

        /** The oldest news, which wait no longer. */
        List<Integer> takePendingMembers(int most) {
            List<Integer> taken = pendingMembers.stream().limit(most).toList();
            taken.forEach(pendingMembers::remove);
            return taken;
        }
    }

    /** The servers that may be used, and sums over them. */
    static final class ServerPool {
        private final Map<String, ServerState> servers = new TreeMap<>();
        final List<ServerState> ready = new ArrayList<>();

        /** Takes in a list or changes; returns servers that are new or have started anew. */
        List<ServerState> apply(TrafficPolicy.ServerList list, double limitOfNew) {
            if (list.scope() == TrafficPolicy.ServerListScope.FULL) {
                Set<String> listed = new LinkedHashSet<>();
                list.servers().forEach(server -> listed.add(server.id()));
                servers.keySet().retainAll(listed);
            }
            List<ServerState> fresh = new ArrayList<>();
            for (ListedServer server : list.servers()) {
                ServerState box = servers.get(server.id());
                // What is still out at one that is gone or has started anew ends on its old box.
                if (server.status() == TrafficPolicy.ServerStatus.GONE) {
                    servers.remove(server.id());
                } else if (box == null || box.listing.startedAt() != server.startedAt()) {
                    ServerState now = new ServerState(server, limitOfNew);
                    servers.put(server.id(), now);
                    fresh.add(now);
                } else {
                    box.listing = server;
                }
            }
            ready.clear();
            servers.values().stream()
                    .filter(box -> box.listing.status() == TrafficPolicy.ServerStatus.READY)
                    .forEach(ready::add);
            return fresh;
        }

        /** Attempts that are out at those that may be used. */
        int inFlight() {
            int open = 0;
            for (ServerState box : ready) {
                open += box.inFlight;
            }
            return open;
        }

        /** The bounds on these, added up. */
        double concurrencyLimit() {
            double limit = 0;
            for (ServerState box : ready) {
                limit += box.concurrencyLimit;
            }
            return limit;
        }

        /** Whether so many are out that it is not believed to be their fault. */
        boolean ignoresEjections(double keepIn) {
            return ejectedCount() > ready.size() * (1 - keepIn);
        }

        /** How many are out of use. */
        int ejectedCount() {
            int out = 0;
            for (ServerState box : ready) {
                out += box.isEjected() ? 1 : 0;
            }
            return out;
        }
    }

    /** A server as seen from here. */
    static final class ServerState {
        ListedServer listing;
        int inFlight;
        double concurrencyLimit;
        long limitReducedAt;
        double latencyRatio = 1;
        double meanInFlight;
        double errorRate;
        int consecutiveFailures;
        int consecutiveSuccesses;
        int ejectionCount;
        long ejectedUntil = -1;
        long noProgressSince;
        long sampledAt;
        double warmUpCredit;
        long warmUpCreditAt;

        ServerState(ListedServer listed, double limit) {
            this.listing = listed;
            this.concurrencyLimit = limit;
        }

        boolean isEjected() {
            return ejectedUntil >= 0;
        }
    }

    /** A class's mean latency, its best mean so far and its mean units. */
    static final class ClassLatency {
        double mean;
        double bestMean;
        double meanUnits = 1;
        long sampledAt;

        ClassLatency(double guess) {
            mean = guess;
            bestMean = guess;
        }
    }

    /** One attempt of a request. */
    static final class PolicyAttempt {
        final ServerState server;
        final long sentAt;
        boolean ended;
        boolean mayHaveRun;
        /** Its request is still coming in, or its answer has begun: it is no load at the server. */
        boolean excludedFromLoad;

        PolicyAttempt(ServerState box, long sentAt) {
            this.server = box;
            this.sentAt = sentAt;
        }
    }

    /** A request this gateway has taken, kept until its last attempt has ended. */
    static final class ActiveRequest {
        final IncomingRequest request;
        final RequestClass requestClass;
        final ClassLatency classLatency;
        final CustomerAccount account;
        final long arrivedAt;
        final List<PolicyAttempt> attempts = new ArrayList<>(2);
        boolean closed;
        boolean unitsSettled;
        /** Attempts that wait for its body are no load at their servers until it is whole. */
        void onBodyProgress(boolean whole, long now) {
            for (PolicyAttempt attempt : attempts) {
                if (!attempt.ended && !streaming && attempt.excludedFromLoad == whole) {
                    attempt.excludedFromLoad = !whole;
                    attempt.server.inFlight += whole ? 1 : -1;
                    attempt.server.noProgressSince =
                            whole && attempt.server.inFlight == 1 ? now : attempt.server.noProgressSince;
                }
            }
        }

        /** Whether an attempt has come whole to a server, or it went to another region. */
        boolean delivered;

        boolean streaming;
        boolean forwarded;

        ActiveRequest(
                IncomingRequest request,
                RequestClass kind,
                ClassLatency times,
                CustomerAccount account,
                long arrivedAt) {
            this.request = request;
            this.requestClass = kind;
            this.classLatency = times;
            this.account = account;
            this.arrivedAt = arrivedAt;
        }

        boolean wasSentTo(ServerState box) {
            for (PolicyAttempt attempt : attempts) {
                if (attempt.server.listing.id().equals(box.listing.id())) {
                    return true;
                }
            }
            return false;
        }

        /** Whether a server that is out may be tried with it: nothing sent yet, and a repeat does no harm. */
        boolean mayTryEjected() {
            return attempts.isEmpty() && requestClass.idempotency() != TrafficPolicy.Idempotency.UNSAFE;
        }

        boolean allEnded() {
            return !forwarded && attempts.stream().allMatch(attempt -> attempt.ended);
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun || !attempt.ended);
        }
    }
}
