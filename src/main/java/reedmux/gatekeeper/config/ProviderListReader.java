package reedmux.gatekeeper.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.reducer.ProviderList;

/** Reads lists of providers in the format that discovery and the configuration share. */
public final class ProviderListReader {
    private static final long NO_REVISION = -1;

    private final List<String> zones;
    private final List<String> kinds;
    private final MonotonicClock clock;

    /** Creates a reader that maps the names of zones and kinds to their indices in the given lists. */
    public ProviderListReader(List<String> zones, List<String> kinds, MonotonicClock clock) {
        this.zones = zones;
        this.kinds = kinds;
        this.clock = clock;
    }

    /** An entry of a list in its written form: zone and kind are names, and times are wall-clock times. */
    public record ProviderListEntry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            ServerStatus status,
            double weight,
            long upSinceMillis) {}

    /** A list in its written form; unless it is {@code complete}, it holds the changes since an earlier revision. */
    public record ProviderListing(long revision, boolean complete, List<ProviderListEntry> entries) {}

    /** Reads the body of a discovery response. */
    public ProviderList read(byte[] body) throws ConfigException {
        try (JsonParser json = new JsonFactory().createParser(body)) {
            json.nextToken();
            return resolve(read(json), ServerListScope.FULL);
        } catch (IOException e) {
            throw new ConfigException("the provider list is not JSON", e);
        }
    }

    /**
     * Replaces the names of zones and kinds by their indices, and wall-clock times by times of the monotonic clock.
     *
     * @param completeScope the scope to assign to a complete list
     */
    ProviderList resolve(ProviderListing listing, ServerListScope completeScope) {
        return new ProviderList(
                listing.complete() ? completeScope : ServerListScope.CHANGES,
                listing.revision(),
                listing.entries().stream().map(this::provider).toList());
    }

    private ProviderList.ListedProvider provider(ProviderListEntry entry) {
        return new ProviderList.ListedProvider(
                new ListedServer(
                        entry.id(),
                        zones.indexOf(entry.zone()),
                        kinds.indexOf(entry.kind()),
                        entry.cell(),
                        entry.status(),
                        entry.weight(),
                        clock.fromUnixMillis(entry.upSinceMillis())),
                entry.address());
    }

    /** Reads the list at which the parser is positioned. */
    static ProviderListing read(JsonParser json) throws IOException, ConfigException {
        long revision = NO_REVISION;
        boolean complete = false;
        List<ProviderListEntry> entries = new ArrayList<>();
        ConfigJson.expect(json, JsonToken.START_OBJECT, "is not an object");
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "revision" -> revision = ConfigJson.integer(json);
                case "complete" -> complete = ConfigJson.flag(json);
                case "members" -> ConfigJson.readArray(json, () -> entries.add(entry(json)));
                default -> json.skipChildren();
            }
        }
        if (revision == NO_REVISION) {
            throw new ConfigException("revision is missing");
        }
        return new ProviderListing(revision, complete, entries);
    }

    private static ProviderListEntry entry(JsonParser json) throws IOException, ConfigException {
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String kind = "";
        int cell = 0;
        ServerStatus status = null;
        double weight = 1;
        long upSinceMillis = 0;
        ConfigJson.expect(json, JsonToken.START_OBJECT, "is not an object");
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "id" -> id = ConfigJson.text(json);
                case "host_port" -> address = ConfigJson.address(json);
                case "locality" -> zone = ConfigJson.text(json);
                case "flavor" -> kind = ConfigJson.text(json);
                case "cell" -> cell = (int) ConfigJson.integer(json);
                case "phase" -> status = status(json);
                case "size" -> weight = ConfigJson.number(json);
                case "up_since_ms" -> upSinceMillis = ConfigJson.integer(json);
                default -> json.skipChildren();
            }
        }
        if (id == null || status == null || address == null && status != ServerStatus.GONE) {
            throw ConfigJson.error(json, "needs id, host_port and phase");
        }
        return new ProviderListEntry(id, address, zone, kind, cell, status, weight, upSinceMillis);
    }

    private static ServerStatus status(JsonParser json) throws IOException, ConfigException {
        if (json.currentToken() != JsonToken.VALUE_STRING) {
            throw ConfigJson.error(json, "is not a phase");
        }
        return switch (json.getText()) {
            case "Ready" -> ServerStatus.READY;
            case "Terminating" -> ServerStatus.DRAINING;
            case "Gone" -> ServerStatus.GONE;
            default -> throw ConfigJson.error(json, "is not a known phase");
        };
    }
}
