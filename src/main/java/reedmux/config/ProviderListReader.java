package reedmux.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import reedmux.core.Clock;
import reedmux.core.ProviderList;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.Status;

/** Reads lists of providers in discovery's form, from discovery and from the configuration alike. */
public final class ProviderListReader {
    private final List<String> zones;
    private final List<String> kinds;
    private final Clock clock;

    public ProviderListReader(List<String> zones, List<String> kinds, Clock clock) {
        this.zones = zones;
        this.kinds = kinds;
        this.clock = clock;
    }

    /** An entry as it was written. */
    record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Status status,
            double weight,
            long upSinceMillis) {}

    /** A list as it was written. */
    record Listing(long revision, boolean complete, List<Entry> entries) {}

    /** Reads an answer of discovery. */
    public ProviderList read(byte[] body) throws ConfigException {
        try (JsonParser json = new JsonFactory().createParser(body)) {
            json.nextToken();
            return resolve(read(json), Scope.FULL);
        } catch (IOException e) {
            throw new ConfigException("the list is not JSON");
        }
    }

    /** Puts in the numbers of zones and kinds, and times of our clock; {@code whole}: scope when complete. */
    ProviderList resolve(Listing listing, Scope whole) {
        return new ProviderList(
                listing.complete() ? whole : Scope.CHANGES,
                listing.revision(),
                listing.entries().stream().map(this::provider).toList());
    }

    private ProviderList.Provider provider(Entry entry) {
        return new ProviderList.Provider(
                new Server(
                        entry.id(),
                        zones.indexOf(entry.zone()),
                        kinds.indexOf(entry.kind()),
                        entry.cell(),
                        entry.status(),
                        entry.weight(),
                        clock.fromUnixMillis(entry.upSinceMillis())),
                entry.address());
    }

    /** Reads the object that the parser stands at. */
    static Listing read(JsonParser json) throws IOException, ConfigException {
        long[] revision = {-1};
        boolean[] complete = {false};
        List<Entry> entries = new ArrayList<>();
        Json.object(json, name -> {
            switch (name) {
                case "revision" -> revision[0] = Json.whole(json);
                case "complete" -> complete[0] = Json.flag(json);
                case "members" -> Json.array(json, () -> entries.add(entry(json)));
                default -> json.skipChildren();
            }
        });
        if (revision[0] < 0) {
            throw new ConfigException("revision is missing");
        }
        return new Listing(revision[0], complete[0], entries);
    }

    private static Entry entry(JsonParser json) throws IOException, ConfigException {
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String kind = "";
        int cell = 0;
        Status status = null;
        double weight = 1;
        long upSince = 0;
        Json.expect(json, JsonToken.START_OBJECT, "is not an object");
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "id" -> id = Json.text(json);
                case "host_port" -> address = Json.address(json);
                case "locality" -> zone = Json.text(json);
                case "flavor" -> kind = Json.text(json);
                case "cell" -> cell = (int) Json.whole(json);
                case "phase" -> status = status(json);
                case "size" -> weight = Json.number(json);
                case "up_since_ms" -> upSince = Json.whole(json);
                default -> json.skipChildren();
            }
        }
        if (id == null || status == null || address == null && status != Status.GONE) {
            throw Json.bad(json, "needs id, host_port and phase");
        }
        return new Entry(id, address, zone, kind, cell, status, weight, upSince);
    }

    private static Status status(JsonParser json) throws IOException, ConfigException {
        if (json.currentToken() != JsonToken.VALUE_STRING) {
            throw Json.bad(json, "is not a phase");
        }
        return switch (json.getText()) {
            case "Ready" -> Status.READY;
            case "Terminating" -> Status.DRAINING;
            case "Gone" -> Status.GONE;
            default -> throw Json.bad(json, "is not a known phase");
        };
    }
}
