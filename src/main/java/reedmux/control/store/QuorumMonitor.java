package reedmux.control.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.control.consensus.CoreMembers;

/**
 * Logs when this store has been without a quorum for longer than {@link #REPORT_AFTER_MICROS}, which members are not
 * connected, and when the quorum is regained. Not thread-safe; confined to the reactor thread.
 */
final class QuorumMonitor {
    /** Quorum losses shorter than this are not logged, because they occur at each start of a peer. */
    private static final long REPORT_AFTER_MICROS = 1_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final Reactor reactor;
    /** Last time at which this store had a quorum, in microseconds of the reactor's clock; negative if never. */
    private long quorumConnectedAt = -1;

    private final long startedAt;
    private boolean reported;

    QuorumMonitor(Reactor reactor) {
        this.reactor = reactor;
        startedAt = reactor.now();
    }

    long quorumConnectedAt() {
        return quorumConnectedAt;
    }

    /**
     * Updates the quorum state and logs its changes. Must be called several times per second.
     *
     * @param current whether this store is connected to a quorum and has merged its state
     * @param core the members of the core; null if they are unknown
     * @param connected the IP addresses of the connected stores, including this one
     */
    void onTick(boolean current, CoreMembers core, Set<String> connected) {
        long now = reactor.now();
        long lostAt = Math.max(startedAt, quorumConnectedAt);
        if (current) {
            quorumConnectedAt = now;
            if (reported) {
                reported = false;
                reactor.info("quorum regained after " + (now - lostAt) / MICROS_PER_MILLI + " ms");
            }
        } else if (!reported && now - lostAt > REPORT_AFTER_MICROS) {
            reported = true;
            reactor.info(core == null ? "no quorum: the core is unknown" : "no quorum: " + describe(core, connected));
        }
    }

    private static String describe(CoreMembers core, Set<String> connected) {
        List<String> missing = new ArrayList<>();
        for (Map.Entry<String, String> member : core.nodeNames().entrySet()) {
            if (!connected.contains(member.getKey())) {
                missing.add(member.getKey() + '=' + member.getValue());
            }
        }
        return missing.size() + " of the " + core.ips().size() + " members of epoch " + core.epoch()
                + " are not connected: " + missing;
    }
}
