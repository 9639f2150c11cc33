package reedmux.config;

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
import reedmux.core.Clock;
import reedmux.core.ProviderList;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Settings;

/**
 * All that the gatekeeper is told at its start, read once and checked here, with the defaults that hold where
 * a key is missing. A {@link ConfigException} names the key that is at fault. {@code operator} is null where
 * no place for operators is named.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress everyPeer,
        Settings settings,
        long connectTimeout,
        long connIdle,
        ProviderList known,
        ProviderListReader lists,
        InetSocketAddress operator) {
    /** A key told twice has one value that nobody meant. */
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int LEAST_SOCKETS = 256;
    private static final ProviderList NOBODY = new ProviderList(Scope.CACHED, 0, List.of());
    private static final long DEFAULT_CONNECT_TIMEOUT = 250_000;
    private static final long DEFAULT_CONN_IDLE = 30_000_000;

    /** Reads the file that the environment names; the environment's own values come before the file's. */
    public static Config load(Map<String, String> environment, Clock clock) throws ConfigException {
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
    public static Config reload(Map<String, String> environment, Clock clock) throws ConfigException {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("RELAY_DISCOVERY");
        return load(rest, clock);
    }

    /** The one service that the platform's configuration tells of. */
    public Service service() {
        return new Service(settings, discovery, known, lists, connectTimeout, connIdle, "");
    }

    /**
     * Reads what a document in the platform's form tells of a further service: {@code discovery}, {@code
     * known} and {@code settings}. Where it has no settings the platform's hold. Our place among the
     * gatekeepers, and what these may send each other, are the platform's in any case.
     *
     * @param told comes before the document's {@code discovery}; may be null
     */
    public Service service(byte[] bytes, InetSocketAddress told, Clock clock) throws ConfigException {
        Draft draft = new Draft();
        parse(bytes, "the document", draft);
        InetSocketAddress where = told == null ? draft.discovery : told;
        if (where == null) {
            throw new ConfigException("discovery is missing");
        }
        if (draft.settings.isEmpty()) {
            return new Service(settings, where, known(draft, lists), lists, connectTimeout, connIdle, "");
        }
        onSockets(draft.settings);
        draft.settings.put("position", Integer.toString(settings.self()));
        draft.settings.put("groupSize", Integer.toString(settings.groupSize()));
        draft.settings.put("az", Integer.toString(settings.zone()));
        draft.settings.put(
                "limits.peerMessages", Boolean.toString(settings.limits().peers()));
        draft.settings.put("extra.mailPerS", Double.toString(settings.limits().peerMessagesPerS()));
        SettingsReader reader = new SettingsReader("settings.", draft.settings);
        ProviderListReader own = new ProviderListReader(reader.names("dcs"), reader.names("kinds"), clock);
        return new Service(
                reader.settings(),
                where,
                known(draft, own),
                own,
                reader.time("limits.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT),
                reader.time("limits.connIdleUs", DEFAULT_CONN_IDLE),
                reader.names("dcs") + " " + reader.names("kinds"));
    }

    /** As {@link #service(byte[], InetSocketAddress, Clock)} without a document. */
    public Service service(InetSocketAddress told) {
        return new Service(settings, told, NOBODY, lists, connectTimeout, connIdle, "");
    }

    private static ProviderList known(Draft draft, ProviderListReader lists) throws ConfigException {
        return draft.known == null ? NOBODY : lists.resolve(draft.known, Scope.CACHED);
    }

    /** All that must be the same in two processes of this gatekeeper for their counts to mean the same. */
    public String rules() {
        // Put together here: a record's own text is linked at run time, which costs a start 20 ms of CPU.
        StringBuilder rules =
                new StringBuilder().append(settings.self()).append(" of ").append(settings.groupSize());
        for (Plan plan : settings.plans()) {
            rules.append("; ")
                    .append(plan.name())
                    .append(' ')
                    .append(plan.rate())
                    .append(' ')
                    .append(plan.burst())
                    .append(' ')
                    .append(plan.maxOpen())
                    .append(' ')
                    .append(plan.ceilingRate())
                    .append(' ')
                    .append(plan.ceilingBurst());
        }
        return rules.toString();
    }

    /** What differs from another configuration but is only read at the start, by its keys. */
    public List<String> fixedAtStart(Config other) {
        List<String> keys = new ArrayList<>();
        if (!listen.equals(other.listen)) {
            keys.add("listen");
        }
        if (!Objects.equals(operator, other.operator)) {
            keys.add("operator");
        }
        if (sockets != other.sockets) {
            keys.add("limits.sockets");
        }
        if (!Objects.equals(peerListen, other.peerListen)
                || !peers.equals(other.peers)
                || !Objects.equals(everyPeer, other.everyPeer)) {
            keys.add("peers");
        }
        if (!settings.equals(other.settings) || connectTimeout != other.connectTimeout || connIdle != other.connIdle) {
            keys.add("settings");
        }
        return keys;
    }

    /** Reads a configuration from its bytes. */
    public static Config read(byte[] bytes, Map<String, String> environment, Clock clock) throws ConfigException {
        Draft draft = new Draft();
        parse(bytes, "RELAY_CONFIG", draft);
        if (draft.settings.isEmpty()) {
            throw new ConfigException("settings is missing");
        }
        onSockets(draft.settings);
        SettingsReader reader = new SettingsReader("settings.", draft.settings);
        Settings settings = reader.settings();
        ProviderListReader lists = new ProviderListReader(reader.names("dcs"), reader.names("kinds"), clock);
        ProviderList known = known(draft, lists);
        if (settings.limits().peers()) {
            checkPeers(draft, settings.groupSize());
        }
        return new Config(
                environment.getOrDefault("RELAY_NAME", draft.name),
                address("listen", environment, draft.listen),
                address("discovery", environment, draft.discovery),
                draft.seed,
                draft.sockets,
                settings.limits().peers() ? draft.peerListen : null,
                List.copyOf(draft.peers),
                draft.everyPeer,
                settings,
                reader.time("limits.connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT),
                reader.time("limits.connIdleUs", DEFAULT_CONN_IDLE),
                known,
                lists,
                optional("operator", environment, draft.operator));
    }

    /** The heap spans the group by number: a peer too few, too many or twice would mix up the counts. */
    private static void checkPeers(Draft draft, int groupSize) throws ConfigException {
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
    private static void onSockets(Map<String, String> settings) {
        settings.put("limits.retryAfter", "true");
        settings.put(SettingsReader.UNITS_WHEN_WHOLE, "true");
    }

    private static InetSocketAddress address(String key, Map<String, String> environment, InetSocketAddress inFile)
            throws ConfigException {
        InetSocketAddress address = optional(key, environment, inFile);
        if (address == null) {
            throw new ConfigException(key + " is missing");
        }
        return address;
    }

    private static InetSocketAddress optional(String key, Map<String, String> environment, InetSocketAddress inFile)
            throws ConfigException {
        String variable = "RELAY_" + key.toUpperCase(Locale.ROOT);
        String told = environment.get(variable);
        InetSocketAddress address = told == null ? inFile : Addresses.parse(told);
        if (address == null && told != null) {
            throw new ConfigException(variable + " is not an address:port: " + told);
        }
        return address;
    }

    /** {@code what} stands for the document in messages; whoever knows its file puts that in front. */
    private static void parse(byte[] bytes, String what, Draft draft) throws ConfigException {
        try (JsonParser json = JSON.createParser(bytes)) {
            json.nextToken();
            Json.object(json, name -> draft.field(json, name));
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
    private static final class Draft {
        String name = "reedmux";
        InetSocketAddress listen;
        InetSocketAddress discovery;
        InetSocketAddress operator;
        long seed;
        int sockets = DEFAULT_SOCKETS;
        InetSocketAddress peerListen;
        final List<InetSocketAddress> peers = new ArrayList<>();
        InetSocketAddress everyPeer;
        ProviderListReader.Listing known;
        final Map<String, String> settings = new HashMap<>();

        void field(JsonParser json, String name) throws IOException, ConfigException {
            if (json.currentToken() == JsonToken.VALUE_NULL) {
                return;
            }
            switch (name) {
                case "name" -> this.name = Json.text(json);
                case "listen" -> listen = Json.address(json);
                case "discovery" -> discovery = Json.address(json);
                case "operator" -> operator = Json.address(json);
                case "seed" -> seed = seed(json);
                case "limits" -> Json.object(json, key -> limit(json, key));
                case "peer_listen" -> peerListen = Json.address(json);
                case "peers_all" -> everyPeer = Json.address(json);
                case "peers" -> Json.array(json, () -> peers.add(Json.address(json)));
                case "known" -> known = ProviderListReader.read(json);
                case "settings" -> {
                    Json.expect(json, JsonToken.START_OBJECT, "is not an object");
                    flatten(json, "");
                }
                default -> json.skipChildren();
            }
        }

        private static long seed(JsonParser json) throws IOException, ConfigException {
            try {
                return Long.parseUnsignedLong(Json.text(json), 16);
            } catch (NumberFormatException e) {
                throw Json.bad(json, "is not 16 hex digits");
            }
        }

        private void limit(JsonParser json, String key) throws IOException, ConfigException {
            if (!key.equals("sockets")) {
                json.skipChildren();
                return;
            }
            long told = Json.whole(json);
            if (told < LEAST_SOCKETS) {
                throw Json.bad(json, "is under " + LEAST_SOCKETS);
            }
            sockets = (int) Math.min(Integer.MAX_VALUE, told);
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
