package reedmux.gatekeeper.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.FailoverRules.FailoverTarget;
import reedmux.gatekeeper.failover.FailoverRules.RemoteRequestLimits;
import reedmux.gatekeeper.script.Declaration.DeclarationKind;

/**
 * The operators' settings for other regions, declared with {@code region(...)} and {@code last_resort(...)}.
 *
 * @param rules                  the rules for failover decisions
 * @param listen                 the address on which other regions connect, or null if none may connect
 * @param gateways               the addresses of the other region's gateways by the names that the rules use
 * @param maxInboundConnections  the maximum number of connections that other regions may open to this gatekeeper
 * @param maxOutboundConnections the maximum number of connections that this gatekeeper opens to another region
 */
public record RegionSettings(
        FailoverRules rules,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> gateways,
        int maxInboundConnections,
        int maxOutboundConnections) {
    static final DeclarationKind REGION_KIND = new DeclarationKind(
            "region", true, List.of("name", "listen", "takes_from", "visitors", "connections_in", "connections_out"));
    static final DeclarationKind LAST_RESORT_KIND = new DeclarationKind(
            "last_resort",
            true,
            List.of("region", "gateways", "budget", "most_at_once", "least_time", "margin", "first_guess"));
    static final DeclarationKind BUDGET_KIND = new DeclarationKind("budget", false, List.of("share", "rate", "burst"));
    static final DeclarationKind VISITORS_KIND =
            new DeclarationKind("visitors", false, List.of("most_at_once", "rate", "burst", "suffers_at", "hold"));

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_COUNT = 1_000_000;

    private static final int DEFAULT_INBOUND_CONNECTIONS = 64;
    private static final int DEFAULT_OUTBOUND_CONNECTIONS = 32;
    private static final int DEFAULT_REMOTE_CONCURRENT = 16;
    private static final double DEFAULT_REMOTE_UNITS_PER_SECOND = 20;
    private static final double DEFAULT_REMOTE_CLOSE_AT_FAILURE_RATE = 0.02;
    private static final long DEFAULT_REMOTE_BACKOFF_MICROS = MICROS_PER_SECOND;
    private static final int DEFAULT_FORWARDED_CONCURRENT = 16;
    private static final long DEFAULT_MIN_REMAINING_MICROS = 100 * MICROS_PER_MILLI;
    private static final long DEFAULT_MARGIN_MICROS = 20 * MICROS_PER_MILLI;
    private static final long DEFAULT_INITIAL_LATENCY_MICROS = 50 * MICROS_PER_MILLI;
    private static final long MAX_REMOTE_BACKOFF_MICROS = 60 * MICROS_PER_SECOND;
    private static final long MAX_MIN_REMAINING_MICROS = 60 * MICROS_PER_SECOND;
    private static final long MAX_LINK_LATENCY_MICROS = 10 * MICROS_PER_SECOND;
    /** The default burst is the rate multiplied by this number of seconds. */
    private static final double DEFAULT_BURST_SECONDS = 2;
    /** Connections between regions may use at most one in this many file descriptors. */
    private static final int DESCRIPTORS_PER_REGION_CONNECTION = 10;

    /**
     * Reads the settings from their declarations.
     *
     * @param region     the {@code region(...)} declaration
     * @param lastResort the {@code last_resort(...)} declaration, or null if there is none
     */
    static RegionSettings read(DeclarationReader region, DeclarationReader lastResort) {
        String name = region.name("name");
        Set<String> acceptsFrom = region.names("takes_from");
        if (acceptsFrom.contains(name)) {
            throw region.error("takes_from", "names our own region, " + name);
        }
        InetSocketAddress listen = region.has("listen") ? region.address("listen") : null;
        if (listen == null && !acceptsFrom.isEmpty()) {
            throw region.error("listen", "is missing, but takes_from names regions that would connect there");
        }
        Map<String, InetSocketAddress> gateways = new LinkedHashMap<>();
        FailoverTarget target = lastResort == null ? null : readTarget(lastResort, name, gateways);
        return new RegionSettings(
                new FailoverRules(name, acceptsFrom, readRemoteLimits(region), target),
                listen,
                gateways,
                region.integer("connections_in", 1, MAX_COUNT, DEFAULT_INBOUND_CONNECTIONS),
                region.integer("connections_out", 1, MAX_COUNT, DEFAULT_OUTBOUND_CONNECTIONS));
    }

    private static RemoteRequestLimits readRemoteLimits(DeclarationReader region) {
        if (!region.has("visitors")) {
            return new RemoteRequestLimits(
                    DEFAULT_REMOTE_CONCURRENT,
                    DEFAULT_REMOTE_UNITS_PER_SECOND,
                    DEFAULT_BURST_SECONDS * DEFAULT_REMOTE_UNITS_PER_SECOND,
                    DEFAULT_REMOTE_CLOSE_AT_FAILURE_RATE,
                    DEFAULT_REMOTE_BACKOFF_MICROS);
        }
        DeclarationReader limits = region.nested("visitors", "visitors");
        double unitsPerSecond = limits.number("rate", 0, MAX_COUNT, DEFAULT_REMOTE_UNITS_PER_SECOND);
        return new RemoteRequestLimits(
                limits.integer("most_at_once", 0, MAX_COUNT, DEFAULT_REMOTE_CONCURRENT),
                unitsPerSecond,
                limits.number("burst", 0, MAX_COUNT, DEFAULT_BURST_SECONDS * unitsPerSecond),
                limits.number("suffers_at", 0, 1, DEFAULT_REMOTE_CLOSE_AT_FAILURE_RATE),
                limits.micros("hold", 0, MAX_REMOTE_BACKOFF_MICROS, DEFAULT_REMOTE_BACKOFF_MICROS));
    }

    private static FailoverTarget readTarget(
            DeclarationReader lastResort, String ownName, Map<String, InetSocketAddress> gateways) {
        String region = lastResort.name("region");
        if (region.equals(ownName)) {
            throw lastResort.error("region", "names our own region, " + ownName);
        }
        for (InetSocketAddress address : lastResort.addresses("gateways")) {
            gateways.put(format(address), address);
        }
        DeclarationReader budget = lastResort.nested("budget", "budget");
        double unitsPerSecond = budget.number("rate", 0, MAX_COUNT);
        return new FailoverTarget(
                region,
                List.copyOf(gateways.keySet()),
                budget.number("share", 0, 1),
                unitsPerSecond,
                budget.number("burst", 0, MAX_COUNT, DEFAULT_BURST_SECONDS * unitsPerSecond),
                lastResort.integer("most_at_once", 0, MAX_COUNT, DEFAULT_FORWARDED_CONCURRENT),
                lastResort.micros(
                        "least_time", MICROS_PER_MILLI, MAX_MIN_REMAINING_MICROS, DEFAULT_MIN_REMAINING_MICROS),
                lastResort.micros("margin", 0, MAX_LINK_LATENCY_MICROS, DEFAULT_MARGIN_MICROS),
                lastResort.micros("first_guess", 0, MAX_LINK_LATENCY_MICROS, DEFAULT_INITIAL_LATENCY_MICROS));
    }

    private static String format(InetSocketAddress address) {
        return address.getHostString() + ':' + address.getPort();
    }

    /** Returns the keys whose values differ from other settings and take effect only after a restart. */
    public List<String> keysRequiringRestart(RegionSettings other) {
        if (!rules.name().equals(other.rules.name())) {
            return List.of("region.name");
        } else if (!Objects.equals(listen, other.listen)) {
            return List.of("region.listen");
        }
        boolean sameConnections = maxInboundConnections == other.maxInboundConnections
                && maxOutboundConnections == other.maxOutboundConnections;
        return sameConnections ? List.of() : List.of("region.connections");
    }

    /** See {@link OperatorSettings#platformConflicts}. */
    List<String> platformConflicts(int gatekeepers, double maxUnits, int descriptors) {
        List<String> conflicts = new ArrayList<>();
        FailoverTarget target = rules.target();
        if (target != null && target.unitsPerSecond() > 0) {
            checkBurst(conflicts, "budget.burst", target.burstUnits(), gatekeepers, maxUnits);
        }
        RemoteRequestLimits limits = rules.remoteLimits();
        if (!rules.acceptsFrom().isEmpty() && limits.unitsPerSecond() > 0) {
            checkBurst(conflicts, "visitors.burst", limits.burstUnits(), gatekeepers, maxUnits);
        }
        int connections = maxInboundConnections + maxOutboundConnections;
        if (connections > descriptors / DESCRIPTORS_PER_REGION_CONNECTION) {
            conflicts.add("region.connections_in and connections_out are " + connections
                    + " together, more than a tenth of " + descriptors + " descriptors");
        }
        return conflicts;
    }

    private static void checkBurst(
            List<String> conflicts, String key, double burstUnits, int gatekeepers, double maxUnits) {
        double burstPerGatekeeper = burstUnits / gatekeepers;
        if (burstPerGatekeeper < maxUnits) {
            conflicts.add(String.format(
                    Locale.ROOT,
                    "%s of %s is %s for each of %d gatekeepers, less than one request may take: %s",
                    key,
                    burstUnits,
                    burstPerGatekeeper,
                    gatekeepers,
                    maxUnits));
        }
    }

    /** Describes the settings in text, one line for each. */
    List<String> describe() {
        List<String> lines = new ArrayList<>();
        if (listen == null) {
            lines.add("region " + rules.name() + ", takes in no other region's requests");
        } else {
            lines.add("region " + rules.name() + ", listens for regions on " + format(listen));
            lines.add(describe(rules.remoteLimits()));
        }
        lines.add(rules.target() == null ? "no last resort" : describe(rules.target()));
        return lines;
    }

    private String describe(RemoteRequestLimits limits) {
        return String.format(
                Locale.ROOT,
                "visitors from %s: at most %d at once, %s units/s with bursts of %s,"
                        + " none while over %s of our own are served badly and %s ms after",
                rules.acceptsFrom(),
                limits.maxConcurrent(),
                limits.unitsPerSecond(),
                limits.burstUnits(),
                limits.closeAtFailureRate(),
                toMillis(limits.minBackoffMicros()));
    }

    private static String describe(FailoverTarget target) {
        return String.format(
                Locale.ROOT,
                "last resort %s at %s: at most %s of the requests, %s units/s with bursts of %s,"
                        + " %d at once; %s ms must be left, %s ms are kept",
                target.region(),
                target.gateways(),
                target.maxShare(),
                target.unitsPerSecond(),
                target.burstUnits(),
                target.maxConcurrent(),
                toMillis(target.minRemainingMicros()),
                toMillis(target.marginMicros()));
    }

    private static double toMillis(long micros) {
        return micros / (double) MICROS_PER_MILLI;
    }
}
