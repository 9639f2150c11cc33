package reedmux.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import reedmux.item.Change;
import reedmux.item.Invalid;
import reedmux.item.Item;
import reedmux.item.Table;

/**
 * The rules, judged by what clients, checkers and the operator have seen. It knows nothing of the inside of
 * a process. Times are microseconds; pure.
 */
final class InvariantChecker {
    private static final long SECOND = 1_000_000;
    private static final long SETTLE = 2 * SECOND;
    private static final long STRETCH = 5 * SECOND;
    private static final long REVERT = SECOND / 4;
    private static final long CONTACT = 3 * SECOND;
    private static final long DRAIN = 2 * SECOND;
    private static final long ACK = 4 * SECOND;
    private static final long QUOTA_WINDOW = 5 * SECOND;
    private static final double OVERSHOOT = 1.1;
    private static final double QUOTA_SLACK = 20;
    private static final long BUDGET_WINDOW = 10 * SECOND;
    private static final double BUDGET_RATIO = 0.2;
    private static final double BUDGET_SLACK = 56;
    private static final int MOST_BROKEN = 40;
    private static final int UNHEARD_LEAST = 3;
    private static final int UNHEARD_PART = 5;

    /** What a version of an item lets be seen: a service, a sign that a key is known, or nothing. */
    static final String NONE = "none";

    /** What is right to do with a call of the operator. */
    enum Proper {
        VALID,
        INVALID,
        /** Of two that are sent at once and cannot stand together, either may be refused. */
        EITHER
    }

    private static final class Version {
        private final Item item;
        private final String shows;
        private final long sentAt;
        private long ackedAt = -1;
        private boolean refused;

        private Version(Item item, String shows, long sentAt) {
            this.item = item;
            this.shows = shows;
            this.sentAt = sentAt;
        }
    }

    private static final class Sent {
        private final long at;
        private final String proxy;
        private final boolean repeatable;
        private final String tenant;
        private final String service;
        private final String route;
        private final List<String> ran = new ArrayList<>();
        private int arrivals;
        private int status = -1;

        private Sent(long at, String proxy, boolean repeatable, String tenant, String service, String route) {
            this.at = at;
            this.route = route;
            this.proxy = proxy;
            this.repeatable = repeatable;
            this.tenant = tenant;
            this.service = service;
        }
    }

    private final List<String> broken = new ArrayList<>();
    private final Map<String, TreeMap<Item, Version>> versions = new LinkedHashMap<>();
    private final Map<String, Sent> sent = new LinkedHashMap<>();
    private final Map<String, Long> drained = new HashMap<>();
    private final Map<String, Deque<Long>> quota = new HashMap<>();
    /** Of tenants beyond their quota, the most that ran in one window. */
    private final Map<String, Integer> mostOfQuota = new LinkedHashMap<>();

    private final Map<String, Map<Long, int[]>> budget = new HashMap<>();
    private final Map<String, Long> floors = new HashMap<>();
    private final Map<String, List<long[]>> troubles = new HashMap<>();
    private final List<long[]> coreTroubles = new ArrayList<>();
    private final List<long[]> halfLost = new ArrayList<>();
    private final Map<String, List<long[]>> minorities = new HashMap<>();
    private int drains;
    private int drainsUnheard;
    private double rate;
    private double burst;
    private long served;
    private long asked;

    List<String> broken() {
        return broken;
    }

    long served() {
        return served;
    }

    long asked() {
        return asked;
    }

    private void broke(String rule, String what) {
        String line = rule + ": " + what;
        if (broken.size() < MOST_BROKEN && !broken.contains(line)) {
            broken.add(line);
        }
    }

    void quota(double flow, double most) {
        rate = flow;
        burst = most;
    }

    // ---- Troubles that the day brought about -------------------------------------------------------
    /** A machine was in trouble from one time to another. */
    void trouble(String machine, long from, long to) {
        troubles.computeIfAbsent(machine, name -> new ArrayList<>()).add(new long[] {from, to});
    }

    /**
     * Something was done to the core, and undone by {@code to}; {@code half}: not even half of it ran,
     * connected. Else it is settled in between, {@code contactMs} after the first.
     */
    void coreTrouble(long from, long to, boolean half) {
        if (half) {
            halfLost.add(new long[] {from, to});
            coreTroubles.add(new long[] {from, to});
        } else {
            coreTroubles.add(new long[] {from, from});
            coreTroubles.add(new long[] {Math.max(from, to - SECOND), to});
        }
    }

    private static boolean meets(List<long[]> spans, long from, long to) {
        return spans != null && spans.stream().anyMatch(span -> span[0] <= to && from <= span[1]);
    }

    private boolean inTouch(String machine, long from, long to) {
        return !meets(troubles.get(machine), from - CONTACT, to);
    }

    private boolean settled(long from, long to) {
        return !meets(coreTroubles, from - CONTACT, to);
    }

    // ---- The configuration -------------------------------------------------------------------------
    /** A version was sent for the first time; {@code shows}: what requests under it come to. */
    void sentVersion(Item item, String shows, long now) {
        versions.computeIfAbsent(item.key(), key -> {
                    TreeMap<Item, Version> all = new TreeMap<>();
                    Item none = new Item(item.kind(), item.name(), 0, "");
                    all.put(none, new Version(none, NONE, 0));
                    return all;
                })
                .putIfAbsent(item, new Version(item, shows, now));
    }

    private Version version(Item item) {
        return versions.get(item.key()).get(item);
    }

    /**
     * A call was acknowledged, also where the answer was lost on its way; the operator had waited for it
     * since {@code sentAt}.
     */
    void acked(List<Item> items, Proper proper, long sentAt, long now) {
        for (Item item : items) {
            Version version = version(item);
            if (proper == Proper.INVALID) {
                broke("CONFIG", "an invalid call is acknowledged: " + item);
            } else if (version.ackedAt < 0) {
                version.ackedAt = now;
                for (Version other : versions.get(item.key()).values()) {
                    if (other != version && other.ackedAt >= 0 && other.item.revision() == item.revision()) {
                        broke(
                                "CONFIG",
                                "two contents are acknowledged under one number: " + item + " and " + other.item);
                    }
                }
            }
        }
        waited(items, proper, sentAt, now);
    }

    /** A call was refused, or given up by the operator. */
    void refused(List<Item> items, Proper proper, boolean clear, long sentAt, long now) {
        if (clear) {
            if (!items.isEmpty() && items.stream().allMatch(item -> version(item).ackedAt >= 0)) {
                broke("CONFIG", "a change that was acknowledged is sent again and refused: " + items);
            } else if (proper == Proper.VALID) {
                broke("DUTY", "a valid change is refused: " + items);
            }
            items.forEach(item -> version(item).refused = true);
        } else {
            waited(items, proper, sentAt, now);
        }
    }

    private void waited(List<Item> items, Proper proper, long sentAt, long now) {
        if (proper == Proper.VALID && settledStretch(sentAt, now) >= ACK) {
            broke("ACKS", "a valid change has no acknowledgement after " + (now - sentAt) / 1000 + " ms: " + items);
        }
    }

    /** The longest time within a span in which the core was settled. */
    private long settledStretch(long from, long to) {
        long longest = 0;
        long begin = from;
        List<long[]> spans = new ArrayList<>(coreTroubles);
        spans.sort((one, other) -> Long.compare(one[0], other[0]));
        for (long[] span : spans) {
            longest = Math.max(longest, Math.min(to, span[0]) - begin);
            begin = Math.max(begin, span[1] + CONTACT);
        }
        return Math.max(longest, to - begin);
    }

    /** A process that was started out of reach of more than half of the core. */
    void minority(String machine, long from, long to) {
        minorities.computeIfAbsent(machine, name -> new ArrayList<>()).add(new long[] {from, to});
    }

    /** A process that began at {@code bornAt} was asked and says that it is ready. */
    void ready(String machine, long bornAt, long now) {
        for (long[] span : minorities.getOrDefault(machine, List.of())) {
            if (span[0] <= bornAt && now <= span[1]) {
                broke(
                        "CONTACT",
                        machine + " is ready " + (now - bornAt) / 1000 + " ms after a start on the word of a minority");
                return;
            }
        }
    }

    /** A process has ended, or does not start, and nobody has told it to. */
    void endedByItself(String process) {
        broke("FAULT", process + " ends by itself");
    }

    /** What a request sent to one proxy has shown of an item; {@code fits}: the versions that show it. */
    void showed(String proxy, String life, String key, String shows, Predicate<String> fits, long sentAt, long now) {
        TreeMap<Item, Version> all = versions.get(key);
        if (all == null || !inTouch(proxy, sentAt, now)) {
            return;
        }
        long bound = SETTLE + (settled(sentAt - SETTLE, now) ? 0 : STRETCH);
        long must = 0;
        for (Version version : all.values()) {
            if (version.ackedAt >= 0 && version.ackedAt + bound < sentAt) {
                must = version.item.revision();
            }
        }
        long least = -1;
        long most = -1;
        for (Version version : all.values()) {
            if (fits.test(version.shows) && version.sentAt <= now && !version.refused && !overruled(version, all)) {
                least = least < 0 ? version.item.revision() : least;
                most = version.item.revision();
            }
        }
        boolean half = meets(halfLost, sentAt - SETTLE - STRETCH, now);
        if (most < 0) {
            broke("CONFIG", proxy + " handles " + key + " as no version allows: " + shows);
        } else if (most < must && !half) {
            broke(
                    "CONFIG",
                    proxy + " shows " + shows + " of " + key + ", which only " + most + " allows; " + must
                            + " was acknowledged long before");
        }
        String floor = life + ' ' + key;
        long[] seen = {floors.getOrDefault(floor, -1L), floors.getOrDefault(floor + " at", 0L)};
        if (most >= 0 && most < seen[0] && sentAt > seen[1] + REVERT) {
            broke("CONFIG", life + " goes back from " + seen[0] + " to " + most + " of " + key);
        }
        if (least > seen[0]) {
            floors.put(floor, least);
            floors.put(floor + " at", now);
        }
    }

    /** Another content was acknowledged under its number. */
    private static boolean overruled(Version version, Map<Item, Version> all) {
        return version.ackedAt < 0
                && all.values().stream()
                        .anyMatch(other -> other.ackedAt >= 0 && other.item.revision() == version.item.revision());
    }

    /** What the operator reads back at the end; null: no answer at all. */
    void readBack(String text, String rule, long sentAt) {
        if (text == null) {
            broke(rule, "no answer to the operator who reads back");
        } else {
            read(text, rule, sentAt);
        }
    }

    /** What a machine has answered in the midst of the day to a read that was sent at {@code sentAt}. */
    void read(String text, long sentAt) {
        read(text, "CONFIG", sentAt);
    }

    private void read(String text, String rule, long sentAt) {
        Map<String, Item> found = new HashMap<>();
        try {
            List<Item> items = Change.read("{\"apply\":" + text + "}");
            items.forEach(item -> found.put(item.key(), item));
            Table.of(items);
        } catch (Invalid e) {
            broke("CONFIG", "what is in force is invalid: " + e.getMessage());
        }
        versions.forEach((key, all) -> {
            Item acked = null;
            for (Version version : all.values()) {
                acked = version.ackedAt >= 0 && version.ackedAt <= sentAt ? version.item : acked;
            }
            Item has = found.remove(key);
            Version told = has == null ? null : all.get(has);
            boolean droppedLater = false;
            for (Version version : all.values()) {
                droppedLater |= acked != null
                        && version.item.revision() >= acked.revision()
                        && version.item.dropped()
                        && !version.refused;
            }
            if (acked != null
                    && (has == null
                            ? !droppedLater
                            : has.revision() < acked.revision()
                                    || has.revision() == acked.revision() && !has.equals(acked))) {
                broke(
                        rule,
                        key + " was acknowledged with " + acked.revision() + " and reads "
                                + (has == null ? "missing" : has.revision()));
            } else if (has != null && (told == null || told.refused || !told.item.equals(has))) {
                broke("CONFIG", key + " reads as nobody sent it, or as it was refused: " + has);
            }
        });
        found.forEach((key, item) -> broke("CONFIG", key + " was never sent"));
    }

    // ---- Requests ----------------------------------------------------------------------------------
    /** {@code service}: that it is a request for, or null where it is only a probe. */
    void sent(String id, String proxy, boolean repeatable, String tenant, String service, String route, long now) {
        sent.put(id, new Sent(now, proxy, repeatable, tenant, service, route));
        if (service != null) {
            asked++;
            bucket(service, now)[0]++;
        }
    }

    private int[] bucket(String service, long now) {
        return budget.computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(now / SECOND, second -> new int[2]);
    }

    /** A request has reached a checker that did not turn it away for being another. */
    void arrived(String id, String service, long now) {
        Sent request = sent.get(id);
        if (request != null && request.service != null && ++request.arrivals > 1) {
            bucket(service, now)[1]++;
        }
    }

    /** A checker begins to work on a request. */
    void ran(String id, String checker, String service, String tenant, long now) {
        Sent request = sent.get(id);
        if (request == null) {
            broke("UNASKED", checker + " runs " + id + ", which nobody sent");
            return;
        }
        request.ran.add(checker);
        if (versions.containsKey(request.route)
                && versions.get(request.route).values().stream().noneMatch(version -> version.shows.equals(service))) {
            broke("ROUTE", id + " runs at " + service + ", where no version of " + request.route + " leads");
        }
        if (!request.repeatable && request.ran.size() > 1) {
            broke("TWICE", id + " is run by " + request.ran);
        }
        if (!request.repeatable && promise(request.status)) {
            broke("REFUSED", id + " is run after " + request.status);
        }
        if (request.tenant != null && !request.tenant.equals(tenant)) {
            broke("UNASKED", id + " is of " + request.tenant + " and runs for " + tenant);
        }
        Long drainedAt = drained.get(checker);
        if (drainedAt != null && now > drainedAt + DRAIN && inTouch(request.proxy, now, now) && settled(now, now)) {
            broke(
                    "DRAIN",
                    id + " reaches " + checker + " " + (now - drainedAt) / 1000
                            + " ms after its drain was acknowledged");
        }
        if (tenant != null && rate > 0) {
            Deque<Long> times = quota.computeIfAbsent(tenant, name -> new ArrayDeque<>());
            times.add(now);
            while (times.peek() < now - QUOTA_WINDOW) {
                times.poll();
            }
            double most = (rate * QUOTA_WINDOW / SECOND + burst) * OVERSHOOT + QUOTA_SLACK;
            if (times.size() > most && times.size() > mostOfQuota.getOrDefault(tenant, 0)) {
                mostOfQuota.put(tenant, times.size());
            }
        }
    }

    private static boolean promise(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    /** {@code sealedBy}: the checker whose whole answer it is, or null. */
    void answered(String id, int status, String sealedBy, long now) {
        Sent request = sent.get(id);
        request.status = status;
        if (!request.repeatable && promise(status) && !request.ran.isEmpty()) {
            broke("REFUSED", id + " gets " + status + " and has run at " + request.ran);
        }
        if (status >= 200 && status < 300) {
            if (!request.ran.contains(sealedBy)) {
                broke("MIXED", id + " is answered with what " + sealedBy + " said, and ran at " + request.ran);
            }
            served += request.service == null ? 0 : 1;
        }
    }

    /** A request's connection ended before a whole answer, or nothing came in time. */
    void lost(String id, boolean cutOff, boolean planned, long now) {
        Sent request = sent.get(id);
        if (cutOff && planned && inTouch(request.proxy, request.at, now) && settled(request.at, now)) {
            broke("LOST", id + " ends without an answer while " + request.proxy + " leaves in order");
        }
    }

    /** A checker's word that it leaves was acknowledged, or was not within its patience. */
    void drainAcked(String checker, String by, long now) {
        if (!inTouch(by, now, now)) {
            return;
        }
        drains += drained.putIfAbsent(checker, now) == null ? 1 : 0;
    }

    /** A checker has said since {@code saidAt} that it leaves, and nobody has acknowledged it. */
    void drainUnheard(long saidAt, long now) {
        if (settledStretch(saidAt, now) >= ACK) {
            drains++;
            drainsUnheard++;
        }
    }

    /** After the last event: the windows that are judged as a whole. */
    void end() {
        if (drainsUnheard >= UNHEARD_LEAST && drainsUnheard * UNHEARD_PART > drains) {
            broke("ACKS", drainsUnheard + " of " + drains + " checkers that leave were not acknowledged");
        }
        mostOfQuota.forEach((tenant, most) -> broke(
                "QUOTA",
                most + " of " + tenant + " in 5 s, "
                        + (long) ((rate * QUOTA_WINDOW / SECOND + burst) * OVERSHOOT + QUOTA_SLACK) + " allowed"));
        budget.forEach((service, seconds) -> {
            Set<Long> ends = new HashSet<>(seconds.keySet());
            long window = BUDGET_WINDOW / SECOND;
            for (long end : ends) {
                int further = 0;
                int[] first = new int[3];
                for (long second = end - 2 * window + 1; second <= end; second++) {
                    int[] here = seconds.getOrDefault(second, new int[2]);
                    further += second > end - window ? here[1] : 0;
                    first[0] += second > end - window ? here[0] : 0;
                    first[1] += second <= end - window ? here[0] : 0;
                    first[2] += second > end - window - window / 2 && second <= end - window / 2 ? here[0] : 0;
                }
                double most = BUDGET_RATIO * Math.max(first[0], Math.max(first[1], first[2])) + BUDGET_SLACK;
                if (further > most) {
                    broke("BUDGET", further + " further tries at " + service + ", " + (long) most + " allowed");
                    return;
                }
            }
        });
    }

    /** Of those sent after a closing fault and the time to recover from it. */
    void recovered(long askedThen, long servedThen) {
        if (askedThen > 20 && servedThen * 4 < askedThen) {
            broke("RECOVER", servedThen + " of " + askedThen + " are served after the closing fault");
        }
    }
}
