package reedmux.gatekeeper.handover;

import java.util.List;
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/** The messages between two processes of one gatekeeper, as one replaces the other. */
public sealed interface HandoverFrame {

    /**
     * The first message of either side.
     *
     * @param version of these frames
     * @param rules   all that must be the same for counts to mean the same
     */
    record HandoverHello(int version, String rules) implements HandoverFrame {}

    /** The successor is ready and requests what was counted. */
    record SnapshotRequest() implements HandoverFrame {}

    /** What one service's policy has counted; {@code last} in the one of the last service. */
    record ServiceSnapshot(String service, List<AccountSnapshot> accounts, boolean last) implements HandoverFrame {}

    /** The successor serves. */
    record SuccessorServing() implements HandoverFrame {}

    /** What one service's policy has counted since the last time. */
    record ServiceUsage(String service, List<AccountUsage> accounts) implements HandoverFrame {}
}
