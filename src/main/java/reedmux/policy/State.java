package reedmux.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Server;

/** What a {@link Brain} remembers; it holds values and decides nothing. */
final class State {

    private State() {}

    /** Which part of this gateway's shares is ours: all, but while another process is the gateway too. */
    static final class Part {
        double of = 1;
    }

    /** A customer here: the paper's four counters, and what the limits beside the quota need. */
    static final class Account extends HeapCount {
        final long customer;
        Plan plan;
        int planIndex;
        int first;
        int spread;
        /** The most members that anybody has told of: a share is never larger than for all of these. */
        int sharers;
        /** Whether we are one of its gateways. */
        boolean member;

        double[] branch = new double[3];
        int[] branchOpen = new int[3];
        int[] toldOpen = new int[3];
        double[] grant = new double[3];
        boolean[] tellCount = new boolean[3];
        double silentShare;
        double margin;
        double sightUnits;
        double ceiling;
        /** Counted since the twin was told last. */
        double toTwin;

        int open;
        int view = -1;
        private final Part part;
        long seenAt;
        long drainedAt;
        long usedAt;

        Account(long customer, Plan plan, int planIndex, int first, int spread, Part part, long now) {
            this.part = part;
            this.customer = customer;
            this.plan = plan;
            this.planIndex = planIndex;
            this.first = first;
            this.spread = spread;
            sharers = spread;
            seenAt = drainedAt = usedAt = now;
        }

        /** Its plan, or its set, is another one from now on; what was counted stays. */
        void move(Plan told, Request request) {
            plan = told;
            planIndex = request.plan();
            first = request.first();
            spread = request.spread();
            ceiling = Math.max(0, ceiling); // where the former plan had none it says nothing
            view = -1;
        }

        /** A member's even part of an amount; whoever is none has no part. */
        double share(double amount) {
            return member ? amount * part.of / sharers : 0;
        }

        @Override
        public void add(double units, int from) {
            super.add(units, from);
            toTwin += from == Twin.FROM ? 0 : units;
        }

        void spend(double units, long now) {
            sightUnits += units;
            ceiling -= units;
            usedAt = now;
        }

        /** Whether anything is still to be told to a neighbour. */
        boolean hasNews(int slot, boolean sharesOpen) {
            return PeerPacket.grained(to[slot]) != 0
                    || tellCount[slot]
                    || grant[slot] > 0
                    || sharesOpen && openBut(slot) != toldOpen[slot];
        }

        @Override
        public void rewire(int[] next) {
            int[] old = near;
            double[] oldBranch = branch;
            super.rewire(next);
            branch = new double[3];
            branchOpen = new int[3];
            toldOpen = new int[3];
            grant = new double[3];
            tellCount = new boolean[3];
            for (int i = 0; i < 3; i++) {
                int before = before(old, near[i]);
                branch[i] = before >= 0 ? oldBranch[before] : 0;
            }
        }

        /** Puts what a lost packet carried back into the counter facing the peer, if there still is one. */
        boolean takeBack(int peer, Carried lost) {
            int slot = slot(peer);
            if (slot >= 0) {
                to[slot] += lost.units;
                tellCount[slot] |= lost.count;
                toldOpen[slot] = -1;
            }
            return slot >= 0;
        }

        /** Open attempts here and behind all neighbours but one, or behind all at -1. */
        int openBut(int slot) {
            return open + branchOpen[0] + branchOpen[1] + branchOpen[2] - (slot < 0 ? 0 : branchOpen[slot]);
        }

        void fadeBranches(double by) {
            for (int i = 0; i < 3; i++) {
                branch[i] *= by;
            }
        }

        double silentShare(int[] status) {
            int count = 0;
            for (int i = 0; i < spread; i++) {
                count += status[(first + i) % status.length] & 1;
            }
            return (double) count / spread;
        }
    }

    /** What a packet carried for one customer, kept until it is acknowledged. */
    record Carried(Account account, double units, boolean count) {}

    /** An unacknowledged packet. */
    record Packet(long number, List<Carried> carried, List<Integer> news) {}

    /** The link to another gateway; times are -1 while there is nothing to wait for. */
    static final class Edge {
        final int peer;
        final Set<Account> dirty = new LinkedHashSet<>();
        final Set<Integer> news = new LinkedHashSet<>();
        final PeerPacket.Names names = new PeerPacket.Names();
        final ArrayDeque<Packet> unacknowledged = new ArrayDeque<>();
        long pace;
        long sentAt;
        long askedSince = -1;
        long owesSince = -1;
        long sent;
        int peerIncarnation;
        int formerIncarnation;
        long received;
        /** An incarnation that one packet has told of, and none since. */
        int unconfirmed;

        int accepted;

        Edge(int peer, long pace, long now) {
            this.peer = peer;
            this.pace = pace;
            sentAt = now - pace;
        }

        /** The peer's new life: nothing received yet, and no names. */
        void begin(int incarnation) {
            if (peerIncarnation != 0) {
                names.clear();
            }
            formerIncarnation = peerIncarnation;
            peerIncarnation = incarnation;
            received = 0;
            accepted = 0;
        }

        /** Moves the window of what was accepted up to a packet just received. */
        void receive(long number) {
            long steps = number - received;
            accepted = steps >= PeerPacket.ACK_WINDOW ? 0 : accepted << steps & PeerPacket.INCARNATIONS - 1;
            received = number;
        }

        /** Packets up to the highest number that were not taken in, and never will be. */
        List<Packet> acknowledge(long highest, int bits) {
            List<Packet> lost = new ArrayList<>();
            while (!unacknowledged.isEmpty() && unacknowledged.peek().number() <= highest) {
                Packet packet = unacknowledged.poll();
                long age = highest - packet.number();
                if (age < PeerPacket.ACK_WINDOW && (bits >>> age & 1) == 0) {
                    lost.add(packet);
                } else {
                    names.acknowledged(packet.number());
                }
            }
            return lost;
        }

        /** All packets without an answer, which are waited for no longer. */
        List<Packet> takeUnacknowledged() {
            List<Packet> all = new ArrayList<>(unacknowledged);
            unacknowledged.clear();
            askedSince = -1;
            return all;
        }

        /** All that is known of members is news to this peer. */
        void tellAll(int[] status) {
            for (int member = 0; member < status.length; member++) {
                if (status[member] > 0) {
                    news.add(member);
                }
            }
        }

        /** The oldest news, which wait no longer. */
        List<Integer> takeNews(int most) {
            List<Integer> taken = news.stream().limit(most).toList();
            taken.forEach(news::remove);
            return taken;
        }
    }

    /** The servers that may be used, and sums over them. */
    static final class Fleet {
        private final Map<String, Box> boxes = new TreeMap<>();
        final List<Box> ready = new ArrayList<>();

        /** Takes in a list or changes; returns servers that are new or have started anew. */
        List<Box> apply(Gateway.ServerList list, double limitOfNew) {
            if (list.scope() == Gateway.Scope.FULL) {
                Set<String> listed = new LinkedHashSet<>();
                list.servers().forEach(server -> listed.add(server.id()));
                boxes.keySet().retainAll(listed);
            }
            List<Box> fresh = new ArrayList<>();
            for (Server server : list.servers()) {
                Box box = boxes.get(server.id());
                // What is still out at one that is gone or has started anew ends on its old box.
                if (server.status() == Gateway.Status.GONE) {
                    boxes.remove(server.id());
                } else if (box == null || box.listed.started() != server.started()) {
                    Box now = new Box(server, limitOfNew);
                    boxes.put(server.id(), now);
                    fresh.add(now);
                } else {
                    box.listed = server;
                }
            }
            ready.clear();
            boxes.values().stream()
                    .filter(box -> box.listed.status() == Gateway.Status.READY)
                    .forEach(ready::add);
            return fresh;
        }

        /** Attempts that are out at those that may be used. */
        int open() {
            int open = 0;
            for (Box box : ready) {
                open += box.open;
            }
            return open;
        }

        /** The bounds on these, added up. */
        double limit() {
            double limit = 0;
            for (Box box : ready) {
                limit += box.limit;
            }
            return limit;
        }

        /** Whether so many are out that it is not believed to be their fault. */
        boolean ignoresOut(double keepIn) {
            return out() > ready.size() * (1 - keepIn);
        }

        /** How many are out of use. */
        int out() {
            int out = 0;
            for (Box box : ready) {
                out += box.out() ? 1 : 0;
            }
            return out;
        }
    }

    /** A server as seen from here. */
    static final class Box {
        Server listed;
        int open;
        double limit;
        long cutAt;
        double slowness = 1;
        double usualOpen;
        double errors;
        int failures;
        int goods;
        int timesOut;
        long outUntil = -1;
        long quietSince;
        long learntAt;
        double credit;
        long creditAt;

        Box(Server listed, double limit) {
            this.listed = listed;
            this.limit = limit;
        }

        boolean out() {
            return outUntil >= 0;
        }
    }

    /** A class's mean latency, its best mean so far and its mean units. */
    static final class ClassTimes {
        double latency;
        double best;
        double units = 1;
        long learntAt;

        ClassTimes(double guess) {
            latency = guess;
            best = guess;
        }
    }

    /** One attempt of a request. */
    static final class Attempt {
        final Box box;
        final long sentAt;
        boolean ended;
        boolean mayHaveRun;
        /** Its request is still coming in, or its answer has begun: it is no load at the server. */
        boolean light;

        Attempt(Box box, long sentAt) {
            this.box = box;
            this.sentAt = sentAt;
        }
    }

    /** A request this gateway has taken, kept until its last attempt has ended. */
    static final class Live {
        final Request request;
        final RequestClass kind;
        final ClassTimes times;
        final Account account;
        final long arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean over;
        boolean settled;
        /** Attempts that wait for its body are no load at their servers until it is whole. */
        void arriving(boolean whole, long now) {
            for (Attempt attempt : attempts) {
                if (!attempt.ended && !streaming && attempt.light == whole) {
                    attempt.light = !whole;
                    attempt.box.open += whole ? 1 : -1;
                    attempt.box.quietSince = whole && attempt.box.open == 1 ? now : attempt.box.quietSince;
                }
            }
        }

        /** Whether an attempt has come whole to a server, or it went to another region. */
        boolean reached;

        boolean streaming;
        boolean away;

        Live(Request request, RequestClass kind, ClassTimes times, Account account, long arrivedAt) {
            this.request = request;
            this.kind = kind;
            this.times = times;
            this.account = account;
            this.arrivedAt = arrivedAt;
        }

        boolean tried(Box box) {
            for (Attempt attempt : attempts) {
                if (attempt.box.listed.id().equals(box.listed.id())) {
                    return true;
                }
            }
            return false;
        }

        /** Whether a server that is out may be tried with it: nothing sent yet, and a repeat does no harm. */
        boolean mayTrial() {
            return attempts.isEmpty() && kind.repeat() != Gateway.Repeat.UNSAFE;
        }

        boolean allEnded() {
            return !away && attempts.stream().allMatch(attempt -> attempt.ended);
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun || !attempt.ended);
        }
    }
}
