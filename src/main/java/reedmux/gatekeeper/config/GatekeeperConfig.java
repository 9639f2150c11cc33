package reedmux.gatekeeper.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
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
 * All that the gatekeeper is told at its start, read once and checked here, with the defaults that hold where
 * a key is missing. A {@link ConfigException} names the key that is at fault. {@code adminListen} is null where
 * no place for operators is named.
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
    /** A key told twice has one value that nobody meant. */
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int MIN_DESCRIPTORS = 256;
    private static final ProviderList NO_PROVIDERS = new ProviderList(ServerListScope.CACHED, 0, List.of());
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long DEFAULT_CONNECTION_IDLE_MICROS = 30_000_000;

    /** Reads the file that the environment names; the environment's own values come before the file's. */
    public static GatekeeperConfig load(Map<String, String> environment, MonotonicClock clock) throws ConfigException {
        String file = environment.get("RELAY_CONFIG");
        if (file == null || file.isBlank()) {
            throw new ConfigException("RELAY_CONFIG is not set");
        }
        try {
            return read(Files.readAllBytes(Path.of(file)), environment, clock);
        } catch (NoSuchFileException e) {
            throw new ConfigException("RELAY_CONFIG names no file: " + file);
        } catch (IOException e) {
            throw new ConfigException("RELAY_CONFIG cannot be read: " + e.getMessage());
        }
    }

    /** Reads the file anew: what it says of discovery now is news, and comes before the environment. */
    public static GatekeeperConfig reload(Map<String, String> environment, MonotonicClock clock)
            throws ConfigException {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("RELAY_DISCOVERY");
        return load(rest, clock);
    }

    /** The one service that the platform's configuration tells of. */
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
     * Reads what a document in the platform's form tells of a further service: {@code discovery}, {@code
     * known} and {@code settings}. Where it has no settings the platform's hold. Our place among the
     * gatekeepers, and what these may send each other, are the platform's in any case.
     *
     * @param told comes before the document's {@code discovery}; may be null
     */
    public ServiceConfig service(byte[] bytes, InetSocketAddress told, MonotonicClock clock) throws ConfigException {
        ConfigDraft draft = new ConfigDraft();
        parse(bytes, "the document", draft);
        InetSocketAddress where = told == null ? draft.discovery : told;
        if (where == null) {
            throw new ConfigException("discovery is missing");
        }
        if (draft.settings.isEmpty()) {
            return new ServiceConfig(
                    settings,
                    where,
                    known(draft, providerListReader),
                    providerListReader,
                    connectTimeoutMicros,
                    connectionIdleMicros,
                    "");
        }
        applySocketDefaults(draft.settings);
        draft.settings.put("position", Integer.toString(settings.self()));
        draft.settings.put("groupSize", Integer.toString(settings.groupSize()));
        draft.settings.put("az", Integer.toString(settings.zone()));
        draft.settings.put(
                "limits.peerMessages", Boolean.toString(settings.limits().peerMessages()));
        draft.settings.put("extra.mailPerS", Double.toString(settings.limits().peerMessagesPerSecond()));
        SettingsReader reader = new SettingsReader("settings.", draft.settings);
        ProviderListReader own = new ProviderListReader(reader.names("dcs"), reader.names("kinds"), clock);
        return new ServiceConfig(
                reader.settings(),
                where,
                known(draft, own),
                own,
                reader.micros("limits.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_MICROS),
                reader.micros("limits.connIdleUs", DEFAULT_CONNECTION_IDLE_MICROS),
                reader.names("dcs") + " " + reader.names("kinds"));
    }

    /** As {@link #service(byte[], InetSocketAddress, Clock)} without a document. */
    public ServiceConfig service(InetSocketAddress told) {
        return new ServiceConfig(
                settings, told, NO_PROVIDERS, providerListReader, connectTimeoutMicros, connectionIdleMicros, "");
    }

    private static ProviderList known(ConfigDraft draft, ProviderListReader lists) throws ConfigException {
        return draft.knownProviders == null
                ? NO_PROVIDERS
                : lists.resolve(draft.knownProviders, ServerListScope.CACHED);
    }

    /** All that must be the same in two processes of this gatekeeper for their counts to mean the same. */
    public String countingRules() {
        // Put together here: a record's own text is linked at run time, which costs a start 20 ms of CPU.
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

    /** What differs from another configuration but is only read at the start, by its keys. */
    public List<String> fixedAtStart(GatekeeperConfig other) {
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

    /** Reads a configuration from its bytes. */
    public static GatekeeperConfig read(byte[] bytes, Map<String, String> environment, MonotonicClock clock)
            throws ConfigException {
        ConfigDraft draft = new ConfigDraft();
        parse(bytes, "RELAY_CONFIG", draft);
        if (draft.settings.isEmpty()) {
            throw new ConfigException("settings is missing");
        }
        applySocketDefaults(draft.settings);
        SettingsReader reader = new SettingsReader("settings.", draft.settings);
        PolicySettings settings = reader.settings();
        ProviderListReader lists = new ProviderListReader(reader.names("dcs"), reader.names("kinds"), clock);
        ProviderList known = known(draft, lists);
        if (settings.limits().peerMessages()) {
            checkPeers(draft, settings.groupSize());
        }
        return new GatekeeperConfig(
                environment.getOrDefault("RELAY_NAME", draft.name),
                address("listen", environment, draft.listen),
                address("discovery", environment, draft.discovery),
                draft.seed,
                draft.maxDescriptors,
                settings.limits().peerMessages() ? draft.peerListen : null,
                List.copyOf(draft.peers),
                draft.peerBroadcast,
                settings,
                reader.micros("limits.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_MICROS),
                reader.micros("limits.connIdleUs", DEFAULT_CONNECTION_IDLE_MICROS),
                known,
                lists,
                optionalAddress("operator", environment, draft.adminListen));
    }

    /** The heap spans the group by number: a peer too few, too many or twice would mix up the counts. */
    private static void checkPeers(ConfigDraft draft, int groupSize) throws ConfigException {
        if (groupSize > 1 && draft.peerListen == null) {
            throw new ConfigException("peer_listen is missing, and settings.limits.peerMessages is true");
        }
        if (draft.peers.size() != groupSize && (groupSize > 1 || !draft.peers.isEmpty())) {
            throw new ConfigException(
                    "peers holds " + draft.peers.size() + " addresses, and settings.groupSize is " + groupSize);
        }
        for (int i = 0; i < draft.peers.size(); i++) {
            int first = draft.peers.indexOf(draft.peers.get(i));
            if (first < i) {
                throw new ConfigException("peers." + i + " is the same address as peers." + first);
            }
        }
    }

    /** On sockets the advice always reaches the consumer, and units are taken later than in the simulator. */
    private static void applySocketDefaults(Map<String, String> settings) {
        settings.put("limits.retryAfter", "true");
        settings.put(SettingsReader.UNITS_AFTER_BODY, "true");
    }

    private static InetSocketAddress address(String key, Map<String, String> environment, InetSocketAddress inFile)
            throws ConfigException {
        InetSocketAddress address = optionalAddress(key, environment, inFile);
        if (address == null) {
            throw new ConfigException(key + " is missing");
        }
        return address;
    }

    private static InetSocketAddress optionalAddress(
            String key, Map<String, String> environment, InetSocketAddress inFile) throws ConfigException {
        String variable = "RELAY_" + key.toUpperCase(Locale.ROOT);
        String told = environment.get(variable);
        InetSocketAddress address = told == null ? inFile : SocketAddresses.parse(told);
        if (address == null && told != null) {
            throw new ConfigException(variable + " is not an address:port: " + told);
        }
        return address;
    }

    /** {@code what} stands for the document in messages; whoever knows its file puts that in front. */
    private static void parse(byte[] bytes, String what, ConfigDraft draft) throws ConfigException {
        try (JsonParser json = JSON.createParser(bytes)) {
            json.nextToken();
            ConfigJson.readObject(json, name -> draft.readField(json, name));
            if (json.nextToken() != null) {
                throw new ConfigException(what + " goes on behind its end at line "
                        + json.currentLocation().getLineNr());
            }
        } catch (JsonProcessingException e) {
            throw new ConfigException(what + " is not JSON: " + e.getOriginalMessage() + " at line "
                    + e.getLocation().getLineNr());
        } catch (IOException e) {
            throw new ConfigException(what + " cannot be read: " + e.getMessage());
        }
    }

    /** What the one pass over the document finds. */
    private static final class ConfigDraft {
        String name = "reedmux";
        InetSocketAddress listen;
        InetSocketAddress discovery;
        InetSocketAddress adminListen;
        long seed;
        int maxDescriptors = DEFAULT_DESCRIPTORS;
        InetSocketAddress peerListen;
        final List<InetSocketAddress> peers = new ArrayList<>();
        InetSocketAddress peerBroadcast;
        ProviderListReader.ProviderListing knownProviders;
        final Map<String, String> settings = new HashMap<>();

        void readField(JsonParser json, String name) throws IOException, ConfigException {
            if (json.currentToken() == JsonToken.VALUE_NULL) {
                return;
            }
            switch (name) {
                case "name" -> this.name = ConfigJson.text(json);
                case "listen" -> listen = ConfigJson.address(json);
                case "discovery" -> discovery = ConfigJson.address(json);
                case "operator" -> adminListen = ConfigJson.address(json);
                case "seed" -> seed = readSeed(json);
                case "limits" -> ConfigJson.readObject(json, key -> readLimit(json, key));
                case "peer_listen" -> peerListen = ConfigJson.address(json);
                case "peers_all" -> peerBroadcast = ConfigJson.address(json);
                case "peers" -> ConfigJson.readArray(json, () -> peers.add(ConfigJson.address(json)));
                case "known" -> knownProviders = ProviderListReader.read(json);
                case "settings" -> {
                    ConfigJson.expect(json, JsonToken.START_OBJECT, "is not an object");
                    flatten(json, "");
                }
                default -> json.skipChildren();
            }
        }

        private static long readSeed(JsonParser json) throws IOException, ConfigException {
            try {
                return Long.parseUnsignedLong(ConfigJson.text(json), 16);
            } catch (NumberFormatException e) {
                throw ConfigJson.error(json, "is not 16 hex digits");
            }
        }

        private void readLimit(JsonParser json, String key) throws IOException, ConfigException {
            if (!key.equals("sockets")) {
                json.skipChildren();
                return;
            }
            long told = ConfigJson.integer(json);
            if (told < MIN_DESCRIPTORS) {
                throw ConfigJson.error(json, "is under " + MIN_DESCRIPTORS);
            }
            maxDescriptors = (int) Math.min(Integer.MAX_VALUE, told);
        }

        /** The values below one place, under names as on the simulator's wire. */
        private void flatten(JsonParser json, String at) throws IOException {
            switch (json.currentToken()) {
                case START_OBJECT -> {
                    while (json.nextToken() != JsonToken.END_OBJECT) {
                        String name = json.currentName();
                        json.nextToken();
                        flatten(json, at.isEmpty() ? name : at + '.' + name);
                    }
                }
                case START_ARRAY -> {
                    int count = 0;
                    List<String> plain = new ArrayList<>();
                    for (; json.nextToken() != JsonToken.END_ARRAY; count++) {
                        if (json.currentToken().isScalarValue()) {
                            plain.add(json.getText());
                        } else {
                            flatten(json, at + '.' + count);
                        }
                    }
                    settings.put(at + ".count", Integer.toString(count));
                    settings.put(at, String.join(",", plain));
                }
                case VALUE_NULL -> {}
                default -> settings.put(at, json.getText());
            }
        }
    }
}
