package reedmux.gatekeeper.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON document in the platform's format, read in a single pass. Only the types of the values are checked here;
 * {@link GatekeeperConfig} detects missing and contradictory values.
 */
final class ConfigDocument {
    /** Rejects duplicate keys, because one of the two values would be ignored. */
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int MIN_DESCRIPTORS = 256;
    private static final int SEED_RADIX = 16;

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
    /** The settings under flat keys such as {@code lanes.0.name}, which {@link SettingsReader} expects. */
    final Map<String, String> settings = new HashMap<>();

    private ConfigDocument() {}

    /**
     * Parses a document.
     *
     * @param title the name of the document in error messages; a caller that knows the file prepends its name
     */
    static ConfigDocument parse(byte[] bytes, String title) throws ConfigException {
        ConfigDocument document = new ConfigDocument();
        try (JsonParser json = JSON.createParser(bytes)) {
            json.nextToken();
            ConfigJson.readObject(json, name -> document.readField(json, name));
            if (json.nextToken() != null) {
                throw new ConfigException(title + " goes on behind its end at line "
                        + json.currentLocation().getLineNr());
            }
            return document;
        } catch (JsonProcessingException e) {
            throw new ConfigException(
                    title + " is not JSON: " + e.getOriginalMessage() + " at line "
                            + e.getLocation().getLineNr(),
                    e);
        } catch (IOException e) {
            throw new ConfigException(title + " cannot be read: " + e.getMessage(), e);
        }
    }

    private void readField(JsonParser json, String field) throws IOException, ConfigException {
        if (json.currentToken() == JsonToken.VALUE_NULL) {
            return;
        }
        switch (field) {
            case "name" -> name = ConfigJson.text(json);
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
            return Long.parseUnsignedLong(ConfigJson.text(json), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw ConfigJson.error(json, "is not 16 hex digits");
        }
    }

    private void readLimit(JsonParser json, String key) throws IOException, ConfigException {
        if (!key.equals("sockets")) {
            json.skipChildren();
            return;
        }
        long descriptors = ConfigJson.integer(json);
        if (descriptors < MIN_DESCRIPTORS) {
            throw ConfigJson.error(json, "is under " + MIN_DESCRIPTORS);
        }
        maxDescriptors = (int) Math.min(Integer.MAX_VALUE, descriptors);
    }

    /** Adds the values below {@code path} to the settings, under the keys that the simulator protocol uses. */
    private void flatten(JsonParser json, String path) throws IOException {
        switch (json.currentToken()) {
            case START_OBJECT -> flattenObject(json, path);
            case START_ARRAY -> flattenArray(json, path);
            case VALUE_NULL -> {}
            default -> settings.put(path, json.getText());
        }
    }

    private void flattenObject(JsonParser json, String path) throws IOException {
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String key = json.currentName();
            json.nextToken();
            flatten(json, path.isEmpty() ? key : path + '.' + key);
        }
    }

    /**
     * Stores the number of elements of an array under {@code path.count}, its scalar elements as a comma-separated text
     * under {@code path}, and the values of all other elements under {@code path.<index>}.
     */
    private void flattenArray(JsonParser json, String path) throws IOException {
        int count = 0;
        List<String> scalars = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (json.currentToken().isScalarValue()) {
                scalars.add(json.getText());
            } else {
                flatten(json, path + '.' + count);
            }
            count++;
        }
        settings.put(path + ".count", Integer.toString(count));
        settings.put(path, String.join(",", scalars));
    }
}
