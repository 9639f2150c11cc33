package reedmux.common.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reedmux.common.net.SocketAddresses;

/**
 * The settings file of one process, read and checked by hand. Times are microseconds here, whatever the
 * file's unit is. Keys that are not known are passed over.
 *
 * @param dataDir null where the machine has no disk
 */
public record ProcessSettings(
        String node,
        String ip,
        String zone,
        int firstPort,
        int lastPort,
        List<InetSocketAddress> seeds,
        boolean coldStart,
        Path dataDir,
        Map<String, Object> values,
        String file) {
    /** The variable that names the file. */
    public static final String ENVIRONMENT_VARIABLE = "REEDMUX_BOOT";

    private static final int MAX_PORT = 65_535;
    private static final long MICROS_PER_MILLI = 1000;

    /** Reads the file that {@link #ENVIRONMENT_VARIABLE} names. */
    public static ProcessSettings fromEnvironment() throws ProcessSettingsException {
        String file = System.getenv(ENVIRONMENT_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new ProcessSettingsException(ENVIRONMENT_VARIABLE + " is not set: it names the settings file");
        }
        return load(Path.of(file));
    }

    public static ProcessSettings load(Path file) throws ProcessSettingsException {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new ProcessSettingsException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Reads a file's text; messages name it {@code file}. */
    public static ProcessSettings parse(String file, String text) throws ProcessSettingsException {
        Map<String, Object> all = TomlParser.parse(file, text);
        List<Object> ports = requiredList(file, all, "portRange");
        if (ports.size() != 2
                || !(ports.get(0) instanceof Double low)
                || !(ports.get(1) instanceof Double high)
                || low < 1
                || high > MAX_PORT
                || low + 2 > high) {
            throw new ProcessSettingsException(
                    file + ": portRange is not two ports, the first at least two below the second");
        }
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (Object seed : requiredList(file, all, "seeds")) {
            InetSocketAddress address = seed instanceof String told ? SocketAddresses.parse(told) : null;
            if (address == null) {
                throw new ProcessSettingsException(file + ": seeds holds what is no address:port: " + seed);
            }
            seeds.add(address);
        }
        Object cold = all.getOrDefault("coldStart", false);
        if (!(cold instanceof Boolean)) {
            throw new ProcessSettingsException(file + ": coldStart is neither true nor false");
        }
        Object dir = all.get("dataDir");
        if (dir != null && !(dir instanceof String)) {
            throw new ProcessSettingsException(file + ": dataDir is not a text");
        }
        return new ProcessSettings(
                requiredText(file, all, "node"),
                requiredText(file, all, "ip"),
                requiredText(file, all, "zone"),
                low.intValue(),
                high.intValue(),
                List.copyOf(seeds),
                (Boolean) cold,
                dir == null ? null : Path.of((String) dir),
                all,
                file);
    }

    /** An address that this process serves on. */
    public InetSocketAddress socketAddress(String name) throws ProcessSettingsException {
        InetSocketAddress address = SocketAddresses.parse(requiredText(file, values, "sockets." + name));
        if (address == null) {
            throw new ProcessSettingsException(file + ": sockets." + name + " is not an address:port");
        }
        return address;
    }

    /** A figure of the file, or what holds where it is missing. */
    public double number(String key, double otherwise) throws ProcessSettingsException {
        Object value = values.getOrDefault(key, otherwise);
        if (!(value instanceof Double number) || number < 0) {
            throw new ProcessSettingsException(file + ": " + key + " is not a number of nought or more");
        }
        return number;
    }

    /** A time told in milliseconds, in microseconds. */
    public long durationMicros(String key, long otherwise) throws ProcessSettingsException {
        return (long) (number(key, otherwise) * MICROS_PER_MILLI);
    }

    /** The place where the stores of all machines listen, and behind it that of the registries. */
    public int storePort() {
        return firstPort;
    }

    public int registryPort() {
        return firstPort + 1;
    }

    /** Where proxies hear each other's datagrams. */
    public int peerPort() {
        return firstPort + 2;
    }

    private static String requiredText(String file, Map<String, Object> all, String key)
            throws ProcessSettingsException {
        if (!(all.get(key) instanceof String text) || text.isEmpty()) {
            throw new ProcessSettingsException(
                    file + ": " + key + (all.containsKey(key) ? " is not a text" : " is missing"));
        }
        return text;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> requiredList(String file, Map<String, Object> all, String key)
            throws ProcessSettingsException {
        if (!(all.get(key) instanceof List<?> list)) {
            throw new ProcessSettingsException(
                    file + ": " + key + (all.containsKey(key) ? " is not a list" : " is missing"));
        }
        return (List<Object>) list;
    }
}
