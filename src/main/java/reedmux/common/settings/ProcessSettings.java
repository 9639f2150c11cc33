package reedmux.common.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
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
    private static final long MILLIS_PER_SECOND = 1000;
    private static final int MAX_COUNT = 1_000_000;
    /** A year; sums and small multiples of longer durations could overflow. */
    private static final long MAX_DURATION_MILLIS = 365L * 24 * 60 * 60 * MILLIS_PER_SECOND;

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
        dataDirectory = parseDirectory(document);
        node = document.requiredText(SettingKeys.NODE);
        ip = parseIp(document);
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
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new ProcessSettingsException(file.toString(), e);
        }
        return parse(file.toString(), decode(file.toString(), bytes));
    }

    /** Decodes UTF-8; an exception names the line of the first byte that is none. */
    private static String decode(String file, byte[] bytes) throws ProcessSettingsException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        CharBuffer out = CharBuffer.allocate(bytes.length);
        CoderResult result = StandardCharsets.UTF_8.newDecoder().decode(in, out, true);
        if (result.isError()) {
            int line = 1;
            for (int i = 0; i < in.position(); i++) {
                line += bytes[i] == '\n' ? 1 : 0;
            }
            throw new ProcessSettingsException(file, line, null, "the text is not UTF-8");
        }
        return out.flip().toString();
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
                || !(ports.get(0) instanceof Long first)
                || !(ports.get(1) instanceof Long last)
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

    private static Path parseDirectory(SettingsDocument document) throws ProcessSettingsException {
        String directory = document.optionalText(SettingKeys.DATA_DIRECTORY);
        try {
            return directory == null ? null : Path.of(directory);
        } catch (InvalidPathException e) {
            throw document.invalid(SettingKeys.DATA_DIRECTORY, "is not a path: " + e.getReason());
        }
    }

    private static String parseIp(SettingsDocument document) throws ProcessSettingsException {
        String text = document.requiredText(SettingKeys.IP);
        if (SocketAddresses.parse(text + ":0") == null) {
            throw document.invalid(SettingKeys.IP, "is not an IPv4 address");
        }
        return text;
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

    /**
     * Whether the file contains a key.
     *
     * @throws ProcessSettingsException if the name of the key's table stands for something else
     */
    public boolean contains(String key) throws ProcessSettingsException {
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
     * @throws ProcessSettingsException if the value is not a finite number of 0 or more
     */
    public double number(String key, double defaultValue) throws ProcessSettingsException {
        return document.number(key, defaultValue, Double.MAX_VALUE);
    }

    /**
     * Returns a whole number.
     *
     * @throws ProcessSettingsException if the value is not a whole number from 0 to {@link #MAX_COUNT}
     */
    public int wholeNumber(String key, int defaultValue) throws ProcessSettingsException {
        return document.wholeNumber(key, defaultValue, MAX_COUNT);
    }

    /**
     * Returns a duration in microseconds whose value in the file is in milliseconds.
     *
     * @throws ProcessSettingsException if the value is not a number from 0 to {@link #MAX_DURATION_MILLIS}
     */
    public long durationMicros(String key, long defaultMillis) throws ProcessSettingsException {
        return (long) (document.number(key, defaultMillis, MAX_DURATION_MILLIS) * MICROS_PER_MILLI);
    }

    /**
     * Returns a duration in microseconds whose value in the file is in seconds.
     *
     * @throws ProcessSettingsException if the value is not a number from 0 to that of {@link #MAX_DURATION_MILLIS}
     */
    public long durationMicrosOfSeconds(String key, long defaultSeconds) throws ProcessSettingsException {
        double seconds = document.number(key, defaultSeconds, (double) MAX_DURATION_MILLIS / MILLIS_PER_SECOND);
        return (long) (seconds * MILLIS_PER_SECOND * MICROS_PER_MILLI);
    }

    /**
     * Checks the values of all keys that any program knows. A running program applies changed settings only if all of
     * them are valid, because its next start could fail otherwise.
     *
     * @throws ProcessSettingsException if a value is invalid
     */
    public void checkAllValues() throws ProcessSettingsException {
        for (String socketKey :
                List.of(SettingKeys.FRONT_SOCKET, SettingKeys.READY_SOCKET, SettingKeys.CONTROL_SOCKET)) {
            if (contains(socketKey)) {
                socketAddress(socketKey);
            }
        }
        number(SettingKeys.RETRY_RATIO, 0);
        number(SettingKeys.RETRY_SLACK, 0);
        number(SettingKeys.DESCRIPTOR_LIMIT, 0);
        durationMicrosOfSeconds(SettingKeys.SHUTDOWN_GRACE_SECONDS, 0);
        durationMicros(SettingKeys.HEARTBEAT_INTERVAL_MILLIS, 0);
        wholeNumber(SettingKeys.TOLERATED_MACHINES, 0);
    }

    /** Creates an exception about the value of a key such as {@code sockets.front}. */
    public ProcessSettingsException invalid(String key, String problem) {
        return document.invalid(key, problem);
    }
}
