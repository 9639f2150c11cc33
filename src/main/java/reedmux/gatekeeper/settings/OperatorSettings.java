package reedmux.gatekeeper.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
import reedmux.gatekeeper.script.Declaration;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptFaultException;
import reedmux.gatekeeper.script.ScriptInterpreter;

/**
 * What the operators have set in a file of their own, beside the platform's configuration. Without such a
 * file nothing of it is on.
 *
 * @param region   what is set about other regions, or null
 * @param services what is set about services beside the platform's
 */
public record OperatorSettings(RegionSettings readRegion, ServicesSettings services) {
    /** Nothing set. */
    public static final OperatorSettings NONE = new OperatorSettings(null, ServicesSettings.NONE);

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_COUNT = 1_000_000;
    /** Bytes of a file that is read at all. */
    private static final long MAX_FILE_BYTES = 4L * ScriptInterpreter.MAX_SCRIPT_CHARS;

    private static final List<Declaration.DeclarationKind> DECLARATION_KINDS = List.of(
            new Declaration.DeclarationKind(
                    "region",
                    true,
                    List.of("name", "listen", "takes_from", "visitors", "connections_in", "connections_out")),
            new Declaration.DeclarationKind(
                    "last_resort",
                    true,
                    List.of("region", "gateways", "budget", "most_at_once", "least_time", "margin", "first_guess")),
            new Declaration.DeclarationKind("budget", false, List.of("share", "rate", "burst")),
            new Declaration.DeclarationKind(
                    "visitors", false, List.of("most_at_once", "rate", "burst", "suffers_at", "hold")),
            ServicesSettings.SERVICE_KIND,
            ServicesSettings.ROUTE_KIND,
            ServicesSettings.SHARING_KIND);

    /**
     * The region part: the rules, and what the link needs.
     *
     * @param rules          for the decisions
     * @param listen         where other regions connect, or null where none may
     * @param gateways       the other region's gateways by the names that the rules use
     * @param connectionsIn  most connections that other regions may open to us
     * @param connectionsOut most connections that we open to another region
     */
    public record RegionSettings(
            FailoverRules rules,
            InetSocketAddress listen,
            Map<String, InetSocketAddress> gateways,
            int maxInboundConnections,
            int maxOutboundConnections) {

        /** What differs from other settings but takes a restart, by its keys. */
        public List<String> fixedAtStart(RegionSettings other) {
            return !rules.name().equals(other.rules.name())
                    ? List.of("region.name")
                    : !Objects.equals(listen, other.listen)
                            ? List.of("region.listen")
                            : maxInboundConnections != other.maxInboundConnections
                                            || maxOutboundConnections != other.maxOutboundConnections
                                    ? List.of("region.connections")
                                    : List.of();
        }
    }

    /** Reads a file. Its bounds are checked against the platform's by whoever knows these. */
    public static OperatorSettings read(Path file) throws ScriptException {
        String name = file.toString();
        try {
            long size = Files.size(file);
            if (size > MAX_FILE_BYTES) {
                throw new ScriptException(
                        name,
                        new ScriptPosition(1, 1),
                        "the file is longer than " + MAX_FILE_BYTES + " bytes: " + size);
            }
            return parse(
                    name,
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(Files.readAllBytes(file)))
                            .toString());
        } catch (CharacterCodingException e) {
            throw new ScriptException(name, new ScriptPosition(1, 1), "the file is not UTF-8");
        } catch (IOException e) {
            throw new ScriptException(name, new ScriptPosition(1, 1), "the file cannot be read: " + e);
        }
    }

    /** Reads a script; {@code file} is the name under which errors tell of it. */
    public static OperatorSettings parse(String file, String script) throws ScriptException {
        List<Declaration> declared = ScriptInterpreter.run(file, script, DECLARATION_KINDS);
        try {
            DeclarationReader region = singleDeclaration(declared, "region");
            DeclarationReader away = singleDeclaration(declared, "last_resort");
            if (region == null && away != null) {
                throw away.error("region", "needs a region(...) that tells our own name");
            }
            return new OperatorSettings(
                    region == null ? null : region(region, away), ServicesSettings.of(file, declared));
        } catch (ScriptFaultException e) {
            throw new ScriptException(file, e.position(), e.getMessage());
        }
    }

    static DeclarationReader singleDeclaration(List<Declaration> declared, String kind) {
        Declaration found = null;
        for (Declaration declaration : declared) {
            if (declaration.kind().equals(kind)) {
                if (found != null) {
                    throw new ScriptFaultException(
                            declaration.position(),
                            kind + " is declared twice, first in line "
                                    + found.position().line());
                }
                found = declaration;
            }
        }
        return found == null ? null : new DeclarationReader(found);
    }

    private static RegionSettings region(DeclarationReader keys, DeclarationReader last) {
        String name = keys.name("name");
        Set<String> takesFrom = keys.names("takes_from");
        if (takesFrom.contains(name)) {
            throw keys.error("takes_from", "names our own region, " + name);
        }
        InetSocketAddress listen = keys.has("listen") ? keys.address("listen") : null;
        if (listen == null && !takesFrom.isEmpty()) {
            throw keys.error("listen", "is missing, but takes_from names regions that would connect there");
        }
        Map<String, InetSocketAddress> gateways = new LinkedHashMap<>();
        FailoverTarget away = last == null ? null : readFailoverTarget(last, name, gateways);
        return new RegionSettings(
                new FailoverRules(name, takesFrom, readRemoteLimits(keys), away),
                listen,
                gateways,
                keys.integer("connections_in", 1, MAX_COUNT, 64),
                keys.integer("connections_out", 1, MAX_COUNT, 32));
    }

    private static RemoteRequestLimits readRemoteLimits(DeclarationReader keys) {
        if (!keys.has("visitors")) {
            return new RemoteRequestLimits(16, 20, 40, 0.02, MICROS_PER_SECOND);
        }
        DeclarationReader told = keys.nested("visitors", "visitors");
        double rate = told.number("rate", 0, MAX_COUNT, 20);
        return new RemoteRequestLimits(
                told.integer("most_at_once", 0, MAX_COUNT, 16),
                rate,
                told.number("burst", 0, MAX_COUNT, 2 * rate),
                told.number("suffers_at", 0, 1, 0.02),
                told.micros("hold", 0, 60 * MICROS_PER_SECOND, MICROS_PER_SECOND));
    }

    private static FailoverTarget readFailoverTarget(
            DeclarationReader keys, String self, Map<String, InetSocketAddress> gateways) {
        String region = keys.name("region");
        if (region.equals(self)) {
            throw keys.error("region", "names our own region, " + self);
        }
        for (InetSocketAddress address : keys.addresses("gateways")) {
            gateways.put(address.getHostString() + ':' + address.getPort(), address);
        }
        DeclarationReader budget = keys.nested("budget", "budget");
        double rate = budget.number("rate", 0, MAX_COUNT);
        return new FailoverTarget(
                region,
                List.copyOf(gateways.keySet()),
                budget.number("share", 0, 1),
                rate,
                budget.number("burst", 0, MAX_COUNT, 2 * rate),
                keys.integer("most_at_once", 0, MAX_COUNT, 16),
                keys.micros("least_time", MICROS_PER_MILLI, 60 * MICROS_PER_SECOND, 100 * MICROS_PER_MILLI),
                keys.micros("margin", 0, 10 * MICROS_PER_SECOND, 20 * MICROS_PER_MILLI),
                keys.micros("first_guess", 0, 10 * MICROS_PER_SECOND, 50 * MICROS_PER_MILLI));
    }

    /**
     * What would never do what it says on this platform: budgets of which a gatekeeper's even part holds less
     * than one request, and more connections than a tenth of the descriptors. Empty where all is well.
     *
     * @param members   gatekeepers of this region
     * @param mostUnits most units of one request
     * @param sockets   descriptors of this gatekeeper
     */
    public List<String> platformConflicts(int members, double mostUnits, int sockets) {
        List<String> found = new ArrayList<>();
        if (readRegion == null) {
            return found;
        }
        FailoverTarget away = readRegion.rules().target();
        if (away != null && away.unitsPerSecond() > 0 && away.burstUnits() / members < mostUnits) {
            found.add(String.format(
                    Locale.ROOT,
                    "budget.burst of %s is %s for each of %d gatekeepers, less " + "than" + " one request may take: %s",
                    away.burstUnits(),
                    away.burstUnits() / members,
                    members,
                    mostUnits));
        }
        RemoteRequestLimits visitors = readRegion.rules().remoteLimits();
        if (!readRegion.rules().acceptsFrom().isEmpty()
                && visitors.unitsPerSecond() > 0
                && visitors.burstUnits() / members < mostUnits) {
            found.add(String.format(
                    Locale.ROOT,
                    "visitors.burst of %s is %s for each of %d gatekeepers, less" + " than one request may take: %s",
                    visitors.burstUnits(),
                    visitors.burstUnits() / members,
                    members,
                    mostUnits));
        }
        int connections = readRegion.maxInboundConnections() + readRegion.maxOutboundConnections();
        if (connections > sockets / 10) {
            found.add("region.connections_in and connections_out are " + connections
                    + " together, more than a"
                    + " tenth of " + sockets + " descriptors");
        }
        return found;
    }

    /** What was understood, a line each. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>(services.describe());
        if (readRegion == null) {
            return lines.isEmpty() ? List.of("nothing is set") : lines;
        }
        FailoverRules rules = readRegion.rules();
        lines.add("region " + rules.name()
                + (readRegion.listen() == null
                        ? ", takes in no other region's requests"
                        : ", listens for regions on " + readRegion.listen().getHostString() + ':'
                                + readRegion.listen().getPort()));
        if (readRegion.listen() != null) {
            RemoteRequestLimits visitors = rules.remoteLimits();
            lines.add(String.format(
                    Locale.ROOT,
                    "visitors from %s: at most %d at once, %s units/s with bursts of %s,"
                            + " none while over %s of our own are served badly and %s ms after",
                    rules.acceptsFrom(),
                    visitors.maxConcurrent(),
                    visitors.unitsPerSecond(),
                    visitors.burstUnits(),
                    visitors.closeAtFailureRate(),
                    visitors.holdMicros() / 1000.0));
        }
        FailoverTarget away = rules.target();
        lines.add(
                away == null
                        ? "no last resort"
                        : String.format(
                                Locale.ROOT,
                                "last resort %s at %s: at most %s of the requests, %s units/s with bursts of %s,"
                                        + " %d at once; %s ms must be left, %s ms are kept",
                                away.region(),
                                away.gateways(),
                                away.maxShare(),
                                away.unitsPerSecond(),
                                away.burstUnits(),
                                away.maxConcurrent(),
                                away.minRemainingMicros() / 1000.0,
                                away.marginMicros() / 1000.0));
        return lines;
    }
}
