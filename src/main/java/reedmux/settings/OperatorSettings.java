package reedmux.settings;

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
import reedmux.region.RegionRules;
import reedmux.region.RegionRules.Away;
import reedmux.region.RegionRules.Visitors;
import reedmux.settings.ScriptException.Place;

/**
 * What the operators have set in a file of their own, beside the platform's configuration. Without such a
 * file nothing of it is on.
 *
 * @param region   what is set about other regions, or null
 * @param services what is set about services beside the platform's
 */
public record OperatorSettings(Region region, Services services) {
    /** Nothing set. */
    public static final OperatorSettings NONE = new OperatorSettings(null, Services.NONE);

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int MOST = 1_000_000;
    /** Bytes of a file that is read at all. */
    private static final long LONGEST = 4L * Interpreter.LONGEST;

    private static final List<Declaration.Kind> KINDS = List.of(
            new Declaration.Kind(
                    "region",
                    true,
                    List.of("name", "listen", "takes_from", "visitors", "connections_in", "connections_out")),
            new Declaration.Kind(
                    "last_resort",
                    true,
                    List.of("region", "gateways", "budget", "most_at_once", "least_time", "margin", "first_guess")),
            new Declaration.Kind("budget", false, List.of("share", "rate", "burst")),
            new Declaration.Kind("visitors", false, List.of("most_at_once", "rate", "burst", "suffers_at", "hold")),
            Services.SERVICE,
            Services.ROUTE,
            Services.SHARING);

    /**
     * The region part: the rules, and what the link needs.
     *
     * @param rules          for the decisions
     * @param listen         where other regions connect, or null where none may
     * @param gateways       the other region's gateways by the names that the rules use
     * @param connectionsIn  most connections that other regions may open to us
     * @param connectionsOut most connections that we open to another region
     */
    public record Region(
            RegionRules rules,
            InetSocketAddress listen,
            Map<String, InetSocketAddress> gateways,
            int connectionsIn,
            int connectionsOut) {

        /** What differs from other settings but takes a restart, by its keys. */
        public List<String> fixedAtStart(Region other) {
            return !rules.name().equals(other.rules.name())
                    ? List.of("region.name")
                    : !Objects.equals(listen, other.listen)
                            ? List.of("region.listen")
                            : connectionsIn != other.connectionsIn || connectionsOut != other.connectionsOut
                                    ? List.of("region.connections")
                                    : List.of();
        }
    }

    /** Reads a file. Its bounds are checked against the platform's by whoever knows these. */
    public static OperatorSettings read(Path file) throws ScriptException {
        String name = file.toString();
        try {
            long size = Files.size(file);
            if (size > LONGEST) {
                throw new ScriptException(
                        name, new Place(1, 1), "the file is longer than " + LONGEST + " bytes: " + size);
            }
            return parse(
                    name,
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(Files.readAllBytes(file)))
                            .toString());
        } catch (CharacterCodingException e) {
            throw new ScriptException(name, new Place(1, 1), "the file is not UTF-8");
        } catch (IOException e) {
            throw new ScriptException(name, new Place(1, 1), "the file cannot be read: " + e);
        }
    }

    /** Reads a script; {@code file} is the name under which errors tell of it. */
    public static OperatorSettings parse(String file, String script) throws ScriptException {
        List<Declaration> declared = Interpreter.run(file, script, KINDS);
        try {
            Keys region = only(declared, "region");
            Keys away = only(declared, "last_resort");
            if (region == null && away != null) {
                throw away.bad("region", "needs a region(...) that tells our own name");
            }
            return new OperatorSettings(region == null ? null : region(region, away), Services.of(file, declared));
        } catch (Fault e) {
            throw new ScriptException(file, e.place(), e.getMessage());
        }
    }

    static Keys only(List<Declaration> declared, String kind) {
        Declaration found = null;
        for (Declaration declaration : declared) {
            if (declaration.kind().equals(kind)) {
                if (found != null) {
                    throw new Fault(
                            declaration.place(),
                            kind + " is declared twice, first in line "
                                    + found.place().line());
                }
                found = declaration;
            }
        }
        return found == null ? null : new Keys(found);
    }

    private static Region region(Keys keys, Keys last) {
        String name = keys.name("name");
        Set<String> takesFrom = keys.names("takes_from");
        if (takesFrom.contains(name)) {
            throw keys.bad("takes_from", "names our own region, " + name);
        }
        InetSocketAddress listen = keys.has("listen") ? keys.address("listen") : null;
        if (listen == null && !takesFrom.isEmpty()) {
            throw keys.bad("listen", "is missing, but takes_from names regions that would connect there");
        }
        Map<String, InetSocketAddress> gateways = new LinkedHashMap<>();
        Away away = last == null ? null : away(last, name, gateways);
        return new Region(
                new RegionRules(name, takesFrom, visitors(keys), away),
                listen,
                gateways,
                keys.whole("connections_in", 1, MOST, 64),
                keys.whole("connections_out", 1, MOST, 32));
    }

    private static Visitors visitors(Keys keys) {
        if (!keys.has("visitors")) {
            return new Visitors(16, 20, 40, 0.02, SECOND);
        }
        Keys told = keys.of("visitors", "visitors");
        double rate = told.number("rate", 0, MOST, 20);
        return new Visitors(
                told.whole("most_at_once", 0, MOST, 16),
                rate,
                told.number("burst", 0, MOST, 2 * rate),
                told.number("suffers_at", 0, 1, 0.02),
                told.time("hold", 0, 60 * SECOND, SECOND));
    }

    private static Away away(Keys keys, String self, Map<String, InetSocketAddress> gateways) {
        String region = keys.name("region");
        if (region.equals(self)) {
            throw keys.bad("region", "names our own region, " + self);
        }
        for (InetSocketAddress address : keys.addresses("gateways")) {
            gateways.put(address.getHostString() + ':' + address.getPort(), address);
        }
        Keys budget = keys.of("budget", "budget");
        double rate = budget.number("rate", 0, MOST);
        return new Away(
                region,
                List.copyOf(gateways.keySet()),
                budget.number("share", 0, 1),
                rate,
                budget.number("burst", 0, MOST, 2 * rate),
                keys.whole("most_at_once", 0, MOST, 16),
                keys.time("least_time", MILLI, 60 * SECOND, 100 * MILLI),
                keys.time("margin", 0, 10 * SECOND, 20 * MILLI),
                keys.time("first_guess", 0, 10 * SECOND, 50 * MILLI));
    }

    /**
     * What would never do what it says on this platform: budgets of which a gatekeeper's even part holds less
     * than one request, and more connections than a tenth of the descriptors. Empty where all is well.
     *
     * @param members   gatekeepers of this region
     * @param mostUnits most units of one request
     * @param sockets   descriptors of this gatekeeper
     */
    public List<String> misfits(int members, double mostUnits, int sockets) {
        List<String> found = new ArrayList<>();
        if (region == null) {
            return found;
        }
        Away away = region.rules().away();
        if (away != null && away.rate() > 0 && away.burst() / members < mostUnits) {
            found.add(String.format(
                    Locale.ROOT,
                    "budget.burst of %s is %s for each of %d gatekeepers, less " + "than" + " one request may take: %s",
                    away.burst(),
                    away.burst() / members,
                    members,
                    mostUnits));
        }
        Visitors visitors = region.rules().visitors();
        if (!region.rules().takesFrom().isEmpty() && visitors.rate() > 0 && visitors.burst() / members < mostUnits) {
            found.add(String.format(
                    Locale.ROOT,
                    "visitors.burst of %s is %s for each of %d gatekeepers, less" + " than one request may take: %s",
                    visitors.burst(),
                    visitors.burst() / members,
                    members,
                    mostUnits));
        }
        int connections = region.connectionsIn() + region.connectionsOut();
        if (connections > sockets / 10) {
            found.add("region.connections_in and connections_out are " + connections
                    + " together, more than a"
                    + " tenth of " + sockets + " descriptors");
        }
        return found;
    }

    /** What was understood, a line each. */
    public List<String> described() {
        List<String> lines = new ArrayList<>(services.described());
        if (region == null) {
            return lines.isEmpty() ? List.of("nothing is set") : lines;
        }
        RegionRules rules = region.rules();
        lines.add("region " + rules.name()
                + (region.listen() == null
                        ? ", takes in no other region's requests"
                        : ", listens for regions on " + region.listen().getHostString() + ':'
                                + region.listen().getPort()));
        if (region.listen() != null) {
            Visitors visitors = rules.visitors();
            lines.add(String.format(
                    Locale.ROOT,
                    "visitors from %s: at most %d at once, %s units/s with bursts of %s,"
                            + " none while over %s of our own are served badly and %s ms after",
                    rules.takesFrom(),
                    visitors.mostAtOnce(),
                    visitors.rate(),
                    visitors.burst(),
                    visitors.suffersAt(),
                    visitors.hold() / 1000.0));
        }
        Away away = rules.away();
        lines.add(
                away == null
                        ? "no last resort"
                        : String.format(
                                Locale.ROOT,
                                "last resort %s at %s: at most %s of the requests, %s units/s with bursts of %s,"
                                        + " %d at once; %s ms must be left, %s ms are kept",
                                away.region(),
                                away.gateways(),
                                away.share(),
                                away.rate(),
                                away.burst(),
                                away.mostAtOnce(),
                                away.leastTime() / 1000.0,
                                away.margin() / 1000.0));
        return lines;
    }
}
