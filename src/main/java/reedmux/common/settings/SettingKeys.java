package reedmux.common.settings;

/**
 * The keys of a process's settings file, as operators write them. Each entry states type, default, range and unit, and
 * which program reads it; a key without a default is required by that program. Unknown keys are ignored. All constants
 * are compile-time constants: no program loads this class.
 *
 * <p>A running program takes up {@link #RETRY_RATIO} and {@link #RETRY_SLACK} when the file changes; everything else
 * takes effect at the next start.
 */
public final class SettingKeys {

    // ---- All programs ------------------------------------------------------------------------------
    /** Text, not empty. The name of the machine, unique in the deployment. */
    public static final String NODE = "node";

    /** Text, not empty. The machine's address, by which other machines connect to it. */
    public static final String IP = "ip";

    /** Text, not empty. The machine's zone, its failure domain. */
    public static final String ZONE = "zone";

    /**
     * List of two numbers: the first and the last port of the range that the programs may use between machines, 1 to
     * 65535, the first at least 2 below the second.
     */
    public static final String PORT_RANGE = "portRange";

    /** List of texts {@code a.b.c.d:port}. Control addresses of core machines; some may be out of date. */
    public static final String SEEDS = "seeds";

    /** Flag, default false. Whether this is the first start of the deployment, when there is no state to recover. */
    public static final String COLD_START = "coldStart";

    /** Text. The directory for what is kept on disk; required by the store, unset on machines without a disk. */
    public static final String DATA_DIRECTORY = "dataDir";

    /** Text {@code a.b.c.d:port}; required by the proxy. Where clients connect. */
    public static final String FRONT_SOCKET = "sockets.front";

    /** Text {@code a.b.c.d:port}; required by the proxy. Where the platform asks for readiness. */
    public static final String READY_SOCKET = "sockets.ready";

    /** Text {@code a.b.c.d:port}; required by the registry. Where checkers and operators call. */
    public static final String CONTROL_SOCKET = "sockets.control";

    // ---- Proxy -------------------------------------------------------------------------------------
    /** Number, 0 or more, default 0.1. Retries for each request of its own, in the long run. */
    public static final String RETRY_RATIO = "envelope.retryRatio";

    /** Number, 0 or more, default 10. Retries beyond the ratio within a window, over all proxies. */
    public static final String RETRY_SLACK = "envelope.retrySlack";

    /** Number of seconds, 0 or more, default 6. How long a proxy that shuts down waits for pending requests. */
    public static final String SHUTDOWN_GRACE_SECONDS = "envelope.graceS";

    /** Number, 0 or more, default 1024. The file descriptors that the process may open. */
    public static final String DESCRIPTOR_LIMIT = "saturation.fdLimit";

    // ---- Registry ----------------------------------------------------------------------------------
    /** Number of milliseconds, 0 or more, default 1500. The interval of checkers' heartbeats. */
    public static final String HEARTBEAT_INTERVAL_MILLIS = "periodMs";

    // ---- Store -------------------------------------------------------------------------------------
    /** Whole number, 0 or more, default 0. How many core machines may be lost at once without losing a change. */
    public static final String TOLERATED_MACHINES = "tolerance.machines";

    private SettingKeys() {}
}
