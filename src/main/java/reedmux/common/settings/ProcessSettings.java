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
 * The settings of one process, parsed from its file; {@link SettingKeys} documents the keys. What every program needs
 * is checked when the file is parsed, the rest when a program asks for it. Immutable.
 */
public final class ProcessSettings {
    /** The environment variable that names the file. */
    public static final String ENVIRONMENT_VARIABLE = "REEDMUX_BOOT";

    private static final int MAX_PORT = 65_535;
    /** The store, the registry and the proxies' datagrams have a port each. */
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

    /** Reads the file that {@link #ENVIRONMENT_VARIABLE} names. */
    public static ProcessSettings fromEnvironment() throws ProcessSettingsException {
        String file = System.getenv(ENVIRONMENT_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new ProcessSettingsException(ENVIRONMENT_VARIABLE + " is not set: it names the settings file");
        }
        return load(Path.of(file));
    }

    /**
     * Reads a file.
     *
     * @throws ProcessSettingsException if it cannot be read or used
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
     * Parses a file's text.
     *
     * @param file how errors name the file
     * @throws ProcessSettingsException if the text cannot be used
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
            throw document.invalid(SettingKeys.PORT_RANGE, "is not two ports, the first at least two below the second");
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

    /** The file as the caller named it. */
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

    /** Whether the file has a key. */
    public boolean contains(String key) {
        return document.contains(key);
    }

    /**
     * An address that this process serves on.
     *
     * @param key one of the {@code sockets} keys
     * @throws ProcessSettingsException if it is missing or not an address with a port
     */
    public InetSocketAddress socketAddress(String key) throws ProcessSettingsException {
        return document.requiredAddress(key);
    }

    /**
     * A number in the unit of its key.
     *
     * @throws ProcessSettingsException if it is not a number of 0 or more
     */
    public double number(String key, double defaultValue) throws ProcessSettingsException {
        return document.number(key, defaultValue);
    }

    /**
     * A duration that the file has in milliseconds, in microseconds.
     *
     * @throws ProcessSettingsException if it is not a number of 0 or more
     */
    public long durationMicros(String key, long defaultMillis) throws ProcessSettingsException {
        return (long) (number(key, defaultMillis) * MICROS_PER_MILLI);
    }

    /** An error at one of this file's keys, as {@code sockets.front}. */
    public ProcessSettingsException invalid(String key, String problem) {
        return document.invalid(key, problem);
    }
}
