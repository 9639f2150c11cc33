package reedmux.gatekeeper.handover;

import java.util.List;
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/** The messages that two processes of one gatekeeper exchange while one replaces the other. */
public sealed interface HandoverFrame {

    /**
     * The first message that each side sends.
     *
     * @param version version of the frame protocol
     * @param rules   description of all settings that must be equal in both processes for their counts to be compatible
     */
    record HandoverHello(int version, String rules) implements HandoverFrame {}

    /** Sent by the successor when it is ready, to request a snapshot of the counts. */
    record SnapshotRequest() implements HandoverFrame {}

    /** The counts of one service's policy; {@code last} is true in the frame of the last service. */
    record ServiceSnapshot(String service, List<AccountSnapshot> accounts, boolean last) implements HandoverFrame {}

    /** Sent by the successor when it has started to serve. */
    record SuccessorServing() implements HandoverFrame {}

    /** The usage counted by one service's policy since the last frame of this type. */
    record ServiceUsage(String service, List<AccountUsage> accounts) implements HandoverFrame {}
}
