package reedmux.gatekeeper.handover;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/** Sample frames of each type that two processes of one gatekeeper exchange. */
public final class HandoverFixtures {
    static final AccountSnapshot FIRST_ACCOUNT = new AccountSnapshot(
            77L << 32,
            300,
            70_001,
            70_002,
            4,
            5.5,
            0.25,
            1.125,
            -2,
            9_000_000_000L,
            new int[] {-1, 70_003, 7},
            new double[] {0.5, 1.5, 2});
    static final AccountSnapshot SECOND_ACCOUNT = new AccountSnapshot(
            -78, 1, 2, 3, 5, 6.5, -0.75, 100.1, 3.25, 8, new int[] {1, 2, -1}, new double[] {3, 4, 5});

    private HandoverFixtures() {}

    static Map<String, HandoverFrame> frames() {
        Map<String, HandoverFrame> frames = new LinkedHashMap<>();
        frames.put("hello", new HandoverFrame.HandoverHello(1, "0 of 4 plans €"));
        frames.put("take", new HandoverFrame.SnapshotRequest());
        frames.put(
                "counted-last",
                new HandoverFrame.ServiceSnapshot("default", List.of(FIRST_ACCOUNT, SECOND_ACCOUNT), true));
        frames.put("counted", new HandoverFrame.ServiceSnapshot("invoices", List.of(), false));
        frames.put("serving", new HandoverFrame.SuccessorServing());
        frames.put(
                "spent",
                new HandoverFrame.ServiceUsage(
                        "default",
                        List.of(
                                new AccountUsage(1L << 32, 300, 70_001, 70_002, 2.5),
                                new AccountUsage(-3, 1, 2, 3, -4.1))));
        return frames;
    }

    /** Returns the encoded bytes of each frame, including the length prefix. */
    public static Map<String, byte[]> encoded() {
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        frames().forEach((name, frame) -> encoded.put(name, HandoverFrameCodec.encode(frame)));
        return encoded;
    }
}
