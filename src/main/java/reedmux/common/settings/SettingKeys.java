package reedmux.common.settings;

/**
 * The keys of a process's settings file. Each entry documents the type, default, range and unit of the value, and the
 * program that reads it; a key without a default is required by that program. Unknown keys are ignored. All constants
 * are compile-time constants, so no program loads this class.
 *
 * <p>A running program applies changes of {@link #RETRY_RATIO} and {@link #RETRY_SLACK} when it reloads the file; all
 * other changes take effect at the next start.
 */
public final class SettingKeys {

    // ---- All programs ------------------------------------------------------------------------------
    /** Text, not empty. The name of the machine, unique in the deployment. */
    public static final String NODE = "node";

    /** Text, not empty. The IP address at which other machines connect to this machine. */
    public static final String IP = "ip";

    /** Text, not empty. The zone, that is the failure domain, of the machine. */
    public static final String ZONE = "zone";

    /**
     * List of two numbers from 1 to 65535: the first and the last port of the range that the programs use for traffic
     * between machines. The first must be at least 2 below the last.
     */
    public static final String PORT_RANGE = "portRange";

    /** List of texts {@code a.b.c.d:port}. Control addresses of core machines; some may be outdated. */
    public static final String SEEDS = "seeds";

    /** Flag, default false. Whether the deployment starts for the first time, with no state to recover. */
    public static final String COLD_START = "coldStart";

    /** Text. The directory for durable data; required by the store, unset on machines without a disk. */
    public static final String DATA_DIRECTORY = "dataDir";

    /** Text {@code a.b.c.d:port}; required by the proxy. The address on which it accepts client connections. */
    public static final String FRONT_SOCKET = "sockets.front";

    /** Text {@code a.b.c.d:port}; required by the proxy. The address on which it answers readiness probes. */
    public static final String READY_SOCKET = "sockets.ready";

    /** Text {@code a.b.c.d:port}; required by the registry. The address on which it serves checkers and operators. */
    public static final String CONTROL_SOCKET = "sockets.control";

    // ---- Proxy -------------------------------------------------------------------------------------
    /** Number, 0 or more, default 0.1. Long-run limit on retries per original request. */
    public static final String RETRY_RATIO = "envelope.retryRatio";

    /** Number, 0 or more, default 10. Retries in excess of the ratio within a window, over all proxies. */
    public static final String RETRY_SLACK = "envelope.retrySlack";

    /** Number of seconds, 0 or more, default 6. How long a proxy waits for pending requests at shutdown. */
    public static final String SHUTDOWN_GRACE_SECONDS = "envelope.graceS";

    /** Number, 0 or more, default 1024. The maximum number of open file descriptors of the process. */
    public static final String DESCRIPTOR_LIMIT = "saturation.fdLimit";

    // ---- Registry ----------------------------------------------------------------------------------
    /** Number of milliseconds, 0 or more, default 1500. The interval of checkers' heartbeats. */
    public static final String HEARTBEAT_INTERVAL_MILLIS = "periodMs";

    // ---- Store -------------------------------------------------------------------------------------
    /** Whole number, 0 or more, default 0. How many core machines may fail at once without losing a change. */
    public static final String TOLERATED_MACHINES = "tolerance.machines";

    private SettingKeys() {}
}
