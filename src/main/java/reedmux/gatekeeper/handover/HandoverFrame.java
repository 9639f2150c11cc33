package reedmux.gatekeeper.handover;

import java.util.List;
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/** What two processes of one gatekeeper tell each other. */
public sealed interface HandoverFrame {

    /**
     * Who speaks; the first word of either side.
     *
     * @param version of these frames
     * @param rules   all that must be the same for counts to mean the same
     */
    record HandoverHello(int version, String rules) implements HandoverFrame {}

    /** The new one is warm and asks for what was counted. */
    record SnapshotRequest() implements HandoverFrame {}

    /** What one service's module has counted; {@code last}: of all services. */
    record ServiceSnapshot(String service, List<AccountSnapshot> accounts, boolean last) implements HandoverFrame {}

    /** The new one listens for consumers. */
    record SuccessorServing() implements HandoverFrame {}

    /** What one service's module has counted since the last time. */
    record ServiceUsage(String service, List<AccountUsage> accounts) implements HandoverFrame {}
}
