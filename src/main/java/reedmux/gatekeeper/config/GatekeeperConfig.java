package reedmux.gatekeeper.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import reedmux.common.net.SocketAddresses;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.reducer.ProviderList;

/**
 * The configuration of a gatekeeper, read at its start and on a reload, validated and completed with defaults. A
 * {@link ConfigException} names the invalid key.
 *
 * @param maxDescriptors       the maximum number of file descriptors of the process
 * @param peerListen           the address on which datagrams of peers are received, or null without peers
 * @param peers                the addresses of all gatekeepers of the group, indexed by their position in the group
 * @param peerBroadcast        an address that reaches all peers at once, or null
 * @param connectTimeoutMicros the timeout for connecting to a provider, in microseconds
 * @param connectionIdleMicros how long providers keep idle connections open, in microseconds
 * @param knownProviders       the providers of the last list before the start
 * @param adminListen          the address on which operators connect, or null if they cannot connect
 */
public record GatekeeperConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peerBroadcast,
        PolicySettings settings,
        long connectTimeoutMicros,
        long connectionIdleMicros,
        ProviderList knownProviders,
        ProviderListReader providerListReader,
        InetSocketAddress adminListen) {
    private static final ProviderList NO_PROVIDERS = new ProviderList(ServerListScope.CACHED, 0, List.of());
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long DEFAULT_CONNECTION_IDLE_MICROS = 30_000_000;

    /** Loads the file named by {@code RELAY_CONFIG}. Environment variables take precedence over values in the file. */
    public static GatekeeperConfig load(Map<String, String> environment, MonotonicClock clock) throws ConfigException {
        String file = environment.get("RELAY_CONFIG");
        if (file == null || file.isBlank()) {
            throw new ConfigException("RELAY_CONFIG is not set");
        }
        try {
            return read(Files.readAllBytes(Path.of(file)), environment, clock);
        } catch (NoSuchFileException e) {
            throw new ConfigException("RELAY_CONFIG names no file: " + file, e);
        } catch (IOException e) {
            throw new ConfigException("RELAY_CONFIG cannot be read: " + e.getMessage(), e);
        }
    }

    /** Loads the file again, but ignores {@code RELAY_DISCOVERY} so that a changed discovery address takes effect. */
    public static GatekeeperConfig reload(Map<String, String> environment, MonotonicClock clock)
            throws ConfigException {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("RELAY_DISCOVERY");
        return load(rest, clock);
    }

    /** Returns the configuration of the default service, which the platform's configuration describes. */
    public ServiceConfig service() {
        return new ServiceConfig(
                settings,
                discovery,
                knownProviders,
                providerListReader,
                connectTimeoutMicros,
                connectionIdleMicros,
                "");
    }

    /**
     * Reads the configuration of an additional service from a document in the platform's format, with
     * {@code discovery}, {@code known} and {@code settings}. Without settings, the platform's settings apply. The
     * position of this gatekeeper in the group, the group size, the zone, and the limits on peer messages are always
     * taken from the platform's settings.
     *
     * @param discoveryOverride an address that takes precedence over the document's {@code discovery}, or null
     */
    public ServiceConfig service(byte[] bytes, InetSocketAddress discoveryOverride, MonotonicClock clock)
            throws ConfigException {
        ConfigDocument document = ConfigDocument.parse(bytes, "the document");
        InetSocketAddress serviceDiscovery = discoveryOverride == null ? document.discovery : discoveryOverride;
        if (serviceDiscovery == null) {
            throw new ConfigException("discovery is missing");
        }
        if (document.settings.isEmpty()) {
            return new ServiceConfig(
                    settings,
                    serviceDiscovery,
                    resolveKnownProviders(document, providerListReader),
                    providerListReader,
                    connectTimeoutMicros,
                    connectionIdleMicros,
                    "");
        }
        applySocketDefaults(document.settings);
        document.settings.put("position", Integer.toString(settings.self()));
        document.settings.put("groupSize", Integer.toString(settings.groupSize()));
        document.settings.put("az", Integer.toString(settings.zone()));
        document.settings.put(
                "limits.peerMessages", Boolean.toString(settings.limits().peerMessages()));
        document.settings.put(
                "extra.mailPerS", Double.toString(settings.limits().peerMessagesPerSecond()));
        SettingsReader reader = new SettingsReader("settings.", document.settings);
        ProviderListReader listReader = new ProviderListReader(reader.names("dcs"), reader.names("kinds"), clock);
        return new ServiceConfig(
                reader.settings(),
                serviceDiscovery,
                resolveKnownProviders(document, listReader),
                listReader,
                reader.micros("limits.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_MICROS),
                reader.micros("limits.connIdleUs", DEFAULT_CONNECTION_IDLE_MICROS),
                reader.names("dcs") + " " + reader.names("kinds"));
    }

    /** Returns the configuration of an additional service with the platform's settings and its own discovery. */
    public ServiceConfig service(InetSocketAddress serviceDiscovery) {
        return new ServiceConfig(
                settings,
                serviceDiscovery,
                NO_PROVIDERS,
                providerListReader,
                connectTimeoutMicros,
                connectionIdleMicros,
                "");
    }

    private static ProviderList resolveKnownProviders(ConfigDocument document, ProviderListReader listReader) {
        return document.knownProviders == null
                ? NO_PROVIDERS
                : listReader.resolve(document.knownProviders, ServerListScope.CACHED);
    }

    /**
     * Describes the settings that two processes of this gatekeeper must share for one to take over the counters of the
     * other: the position in the group, the group size, and the quota and rate limit of each plan.
     */
    public String countingRules() {
        // The toString of the records is not used because linking it at run time adds 20 ms of CPU time to a start.
        StringBuilder rules =
                new StringBuilder().append(settings.self()).append(" of ").append(settings.groupSize());
        for (CustomerPlan plan : settings.plans()) {
            rules.append("; ")
                    .append(plan.name())
                    .append(' ')
                    .append(plan.quotaRate())
                    .append(' ')
                    .append(plan.quotaBurst())
                    .append(' ')
                    .append(plan.maxConcurrency())
                    .append(' ')
                    .append(plan.rateLimit())
                    .append(' ')
                    .append(plan.rateLimitBurst());
        }
        return rules.toString();
    }

    /** Returns the keys whose values differ from another configuration and take effect only after a restart. */
    public List<String> keysRequiringRestart(GatekeeperConfig other) {
        List<String> keys = new ArrayList<>();
        if (!listen.equals(other.listen)) {
            keys.add("listen");
        }
        if (!Objects.equals(adminListen, other.adminListen)) {
            keys.add("operator");
        }
        if (maxDescriptors != other.maxDescriptors) {
            keys.add("limits.sockets");
        }
        if (!Objects.equals(peerListen, other.peerListen)
                || !peers.equals(other.peers)
                || !Objects.equals(peerBroadcast, other.peerBroadcast)) {
            keys.add("peers");
        }
        if (!settings.equals(other.settings)
                || connectTimeoutMicros != other.connectTimeoutMicros
                || connectionIdleMicros != other.connectionIdleMicros) {
            keys.add("settings");
        }
        return keys;
    }

    /** Reads a configuration from the content of a file. */
    public static GatekeeperConfig read(byte[] bytes, Map<String, String> environment, MonotonicClock clock)
            throws ConfigException {
        ConfigDocument document = ConfigDocument.parse(bytes, "RELAY_CONFIG");
        if (document.settings.isEmpty()) {
            throw new ConfigException("settings is missing");
        }
        applySocketDefaults(document.settings);
        SettingsReader reader = new SettingsReader("settings.", document.settings);
        PolicySettings settings = reader.settings();
        ProviderListReader listReader = new ProviderListReader(reader.names("dcs"), reader.names("kinds"), clock);
        ProviderList known = resolveKnownProviders(document, listReader);
        if (settings.limits().peerMessages()) {
            checkPeers(document, settings.groupSize());
        }
        return new GatekeeperConfig(
                environment.getOrDefault("RELAY_NAME", document.name),
                address("listen", environment, document.listen),
                address("discovery", environment, document.discovery),
                document.seed,
                document.maxDescriptors,
                settings.limits().peerMessages() ? document.peerListen : null,
                List.copyOf(document.peers),
                document.peerBroadcast,
                settings,
                reader.micros("limits.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_MICROS),
                reader.micros("limits.connIdleUs", DEFAULT_CONNECTION_IDLE_MICROS),
                known,
                listReader,
                optionalAddress("operator", environment, document.adminListen));
    }

    /**
     * Checks the list of peers. Gatekeepers exchange counters by their positions in the group, so a missing, surplus or
     * duplicate peer would cause counters to be attributed to the wrong gatekeeper.
     */
    private static void checkPeers(ConfigDocument document, int groupSize) throws ConfigException {
        if (groupSize > 1 && document.peerListen == null) {
            throw new ConfigException("peer_listen is missing, and settings.limits.peerMessages is true");
        }
        if (document.peers.size() != groupSize && (groupSize > 1 || !document.peers.isEmpty())) {
            throw new ConfigException(
                    "peers holds " + document.peers.size() + " addresses, and settings.groupSize is " + groupSize);
        }
        for (int i = 0; i < document.peers.size(); i++) {
            int first = document.peers.indexOf(document.peers.get(i));
            if (first < i) {
                throw new ConfigException("peers." + i + " is the same address as peers." + first);
            }
        }
    }

    /** With real sockets, clients always get {@code Retry-After}, and units are charged later than in the simulator. */
    private static void applySocketDefaults(Map<String, String> settings) {
        settings.put("limits.retryAfter", "true");
        settings.put(SettingsReader.UNITS_AFTER_BODY, "true");
    }

    private static InetSocketAddress address(String key, Map<String, String> environment, InetSocketAddress fromFile)
            throws ConfigException {
        InetSocketAddress address = optionalAddress(key, environment, fromFile);
        if (address == null) {
            throw new ConfigException(key + " is missing");
        }
        return address;
    }

    private static InetSocketAddress optionalAddress(
            String key, Map<String, String> environment, InetSocketAddress fromFile) throws ConfigException {
        String variable = "RELAY_" + key.toUpperCase(Locale.ROOT);
        String text = environment.get(variable);
        InetSocketAddress address = text == null ? fromFile : SocketAddresses.parse(text);
        if (address == null && text != null) {
            throw new ConfigException(variable + " is not an address:port: " + text);
        }
        return address;
    }
}
