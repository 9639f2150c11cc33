package reedmux.control.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.control.consensus.CoreMembers;

/**
 * Tells operators when this store has been without a quorum for a while, which members it does not reach, and when it
 * has one again. For the reactor's thread.
 */
final class QuorumMonitor {
    /** Shorter losses, as at each start of a peer, are not worth a line. */
    private static final long REPORT_AFTER_MICROS = 1_000_000;

    private static final long MICROS_PER_MILLI = 1000;

    private final Reactor reactor;
    /** When connections with a quorum were last established; below 0 for never. */
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
     * To be called several times a second.
     *
     * @param current whether this store is connected to a quorum whose state is merged here
     * @param core the members, or null where they are not known
     * @param connected the ips of the stores that are connected, this one's among them
     */
    void onTick(boolean current, CoreMembers core, Set<String> connected) {
        long now = reactor.now();
        long lostAt = Math.max(startedAt, quorumConnectedAt);
        if (current) {
            quorumConnectedAt = now;
            if (reported) {
                reported = false;
                reactor.info("in touch with a quorum again, after " + (now - lostAt) / MICROS_PER_MILLI + " ms");
            }
        } else if (!reported && now - lostAt > REPORT_AFTER_MICROS) {
            reported = true;
            reactor.info(core == null ? "no quorum: the core is not known" : "no quorum: " + describe(core, connected));
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
