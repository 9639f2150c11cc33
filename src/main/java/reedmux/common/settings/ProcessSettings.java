package reedmux.common.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedmux.common.net.SocketAddresses;

/**
 * The settings of one process, parsed from its settings file; {@link SettingKeys} documents the keys. Settings that
 * every program requires are validated when the file is parsed, all others when a program reads them. Immutable.
 */
public final class ProcessSettings {
    /** The environment variable that holds the path of the settings file. */
    public static final String ENVIRONMENT_VARIABLE = "REEDMUX_BOOT";

    private static final int MAX_PORT = 65_535;
    /** One port each for the store, the registry and the proxies' datagrams. */
    private static final int MIN_PORTS = 3;

    private static final long MICROS_PER_MILLI = 1000;

    private final SettingsDocument document;
    private final String node;
    private final String ip;
    private final String zone;
    private final int firstPort;
    private final List<InetSocketAddress> seeds;
    private final boolean coldStart;
    private final Path dataDirectory;

    private ProcessSettings(SettingsDocument document) throws ProcessSettingsException {
        this.document = document;
        firstPort = parseFirstPort(document);
        seeds = parseSeeds(document);
        coldStart = document.flag(SettingKeys.COLD_START, false);
        String directory = document.optionalText(SettingKeys.DATA_DIRECTORY);
        dataDirectory = directory == null ? null : Path.of(directory);
        node = document.requiredText(SettingKeys.NODE);
        ip = document.requiredText(SettingKeys.IP);
        zone = document.requiredText(SettingKeys.ZONE);
    }

    /** Loads the file whose path {@link #ENVIRONMENT_VARIABLE} holds. */
    public static ProcessSettings fromEnvironment() throws ProcessSettingsException {
        String file = System.getenv(ENVIRONMENT_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new ProcessSettingsException(
                    ENVIRONMENT_VARIABLE + " is not set; it must hold the path of the settings file");
        }
        return load(Path.of(file));
    }

    /**
     * Loads a settings file.
     *
     * @throws ProcessSettingsException if the file cannot be read or is invalid
     */
    public static ProcessSettings load(Path file) throws ProcessSettingsException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new ProcessSettingsException(file.toString(), e);
        }
        return parse(file.toString(), text);
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file the file name for error messages
     * @throws ProcessSettingsException if the text is invalid
     */
    public static ProcessSettings parse(String file, String text) throws ProcessSettingsException {
        return new ProcessSettings(TomlParser.parse(file, text));
    }

    private static int parseFirstPort(SettingsDocument document) throws ProcessSettingsException {
        List<?> ports = document.requiredList(SettingKeys.PORT_RANGE);
        if (ports.size() != 2
                || !(ports.get(0) instanceof Double first)
                || !(ports.get(1) instanceof Double last)
                || first < 1
                || last > MAX_PORT
                || first + MIN_PORTS - 1 > last) {
            throw document.invalid(
                    SettingKeys.PORT_RANGE,
                    "is not a list of two ports from 1 to 65535, the first at least 2 below the second");
        }
        return first.intValue();
    }

    private static List<InetSocketAddress> parseSeeds(SettingsDocument document) throws ProcessSettingsException {
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (Object seed : document.requiredList(SettingKeys.SEEDS)) {
            InetSocketAddress address = seed instanceof String text ? SocketAddresses.parse(text) : null;
            if (address == null) {
                throw document.invalid(SettingKeys.SEEDS, "holds what is no address:port: " + seed);
            }
            seeds.add(address);
        }
        return List.copyOf(seeds);
    }

    /** The file name that was passed to {@link #load} or {@link #parse}. */
    public String file() {
        return document.file();
    }

    /** See {@link SettingKeys#NODE}. */
    public String node() {
        return node;
    }

    /** See {@link SettingKeys#IP}. */
    public String ip() {
        return ip;
    }

    /** See {@link SettingKeys#ZONE}. */
    public String zone() {
        return zone;
    }

    /** See {@link SettingKeys#SEEDS}. */
    public List<InetSocketAddress> seeds() {
        return seeds;
    }

    /** See {@link SettingKeys#COLD_START}. */
    public boolean coldStart() {
        return coldStart;
    }

    /** See {@link SettingKeys#DATA_DIRECTORY}; null if it is not set. */
    public Path dataDir() {
        return dataDirectory;
    }

    /** The port on which the stores of all machines listen for other programs: the first of the range. */
    public int storePort() {
        return firstPort;
    }

    /** The port on which the registries of all machines listen for other programs: the second of the range. */
    public int registryPort() {
        return firstPort + 1;
    }

    /** The port on which proxies receive each other's datagrams: the third of the range. */
    public int peerPort() {
        return firstPort + 2;
    }

    /** Whether the file contains a key. */
    public boolean contains(String key) {
        return document.contains(key);
    }

    /**
     * Returns an address on which this process listens.
     *
     * @param key one of the {@code sockets} keys
     * @throws ProcessSettingsException if the key is missing or its value is not an address with a port
     */
    public InetSocketAddress socketAddress(String key) throws ProcessSettingsException {
        return document.requiredAddress(key);
    }

    /**
     * Returns a number in the unit that {@link SettingKeys} documents for its key.
     *
     * @throws ProcessSettingsException if the value is not a number of 0 or more
     */
    public double number(String key, double defaultValue) throws ProcessSettingsException {
        return document.number(key, defaultValue);
    }

    /**
     * Returns a duration in microseconds whose value in the file is in milliseconds.
     *
     * @throws ProcessSettingsException if the value is not a number of 0 or more
     */
    public long durationMicros(String key, long defaultMillis) throws ProcessSettingsException {
        return (long) (number(key, defaultMillis) * MICROS_PER_MILLI);
    }

    /** Creates an exception about the value of a key such as {@code sockets.front}. */
    public ProcessSettingsException invalid(String key, String problem) {
        return document.invalid(key, problem);
    }
}
