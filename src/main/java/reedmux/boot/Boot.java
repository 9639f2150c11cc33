package reedmux.boot;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reedmux.config.Addresses;

/**
 * The settings file of one process, read and checked by hand. Times are microseconds here, whatever the
 * file's unit is. Keys that are not known are passed over.
 *
 * @param dataDir null where the machine has no disk
 */
public record Boot(
        String node,
        String ip,
        String zone,
        int firstPort,
        int lastPort,
        List<InetSocketAddress> seeds,
        boolean coldStart,
        Path dataDir,
        Map<String, Object> all,
        String file) {
    /** The variable that names the file. */
    public static final String VARIABLE = "REEDMUX_BOOT";

    private static final int MOST_PORT = 65_535;
    private static final long MILLI = 1000;

    /** Reads the file that {@link #VARIABLE} names. */
    public static Boot ofEnvironment() throws BootException {
        String file = System.getenv(VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new BootException(VARIABLE + " is not set: it names the settings file");
        }
        return of(Path.of(file));
    }

    public static Boot of(Path file) throws BootException {
        try {
            return read(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new BootException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Reads a file's text; messages name it {@code file}. */
    public static Boot read(String file, String text) throws BootException {
        Map<String, Object> all = Toml.read(file, text);
        List<Object> ports = list(file, all, "portRange");
        if (ports.size() != 2
                || !(ports.get(0) instanceof Double low)
                || !(ports.get(1) instanceof Double high)
                || low < 1
                || high > MOST_PORT
                || low + 2 > high) {
            throw new BootException(file + ": portRange is not two ports, the first at least two below the second");
        }
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (Object seed : list(file, all, "seeds")) {
            InetSocketAddress address = seed instanceof String told ? Addresses.parse(told) : null;
            if (address == null) {
                throw new BootException(file + ": seeds holds what is no address:port: " + seed);
            }
            seeds.add(address);
        }
        Object cold = all.getOrDefault("coldStart", false);
        if (!(cold instanceof Boolean)) {
            throw new BootException(file + ": coldStart is neither true nor false");
        }
        Object dir = all.get("dataDir");
        if (dir != null && !(dir instanceof String)) {
            throw new BootException(file + ": dataDir is not a text");
        }
        return new Boot(
                text(file, all, "node"),
                text(file, all, "ip"),
                text(file, all, "zone"),
                low.intValue(),
                high.intValue(),
                List.copyOf(seeds),
                (Boolean) cold,
                dir == null ? null : Path.of((String) dir),
                all,
                file);
    }

    /** An address that this process serves on. */
    public InetSocketAddress socket(String name) throws BootException {
        InetSocketAddress address = Addresses.parse(text(file, all, "sockets." + name));
        if (address == null) {
            throw new BootException(file + ": sockets." + name + " is not an address:port");
        }
        return address;
    }

    /** A figure of the file, or what holds where it is missing. */
    public double figure(String key, double otherwise) throws BootException {
        Object value = all.getOrDefault(key, otherwise);
        if (!(value instanceof Double number) || number < 0) {
            throw new BootException(file + ": " + key + " is not a number of nought or more");
        }
        return number;
    }

    /** A time told in milliseconds, in microseconds. */
    public long millis(String key, long otherwise) throws BootException {
        return (long) (figure(key, otherwise) * MILLI);
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

    private static String text(String file, Map<String, Object> all, String key) throws BootException {
        if (!(all.get(key) instanceof String text) || text.isEmpty()) {
            throw new BootException(file + ": " + key + (all.containsKey(key) ? " is not a text" : " is missing"));
        }
        return text;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> list(String file, Map<String, Object> all, String key) throws BootException {
        if (!(all.get(key) instanceof List<?> list)) {
            throw new BootException(file + ": " + key + (all.containsKey(key) ? " is not a list" : " is missing"));
        }
        return (List<Object>) list;
    }
}
