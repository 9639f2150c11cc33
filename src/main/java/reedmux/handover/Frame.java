package reedmux.handover;

import java.util.List;
import reedmux.policy.Twin.Kept;
import reedmux.policy.Twin.Spent;

/** What two processes of one gatekeeper tell each other. */
public sealed interface Frame {

    /**
     * Who speaks; the first word of either side.
     *
     * @param version of these frames
     * @param rules   all that must be the same for counts to mean the same
     */
    record Hello(int version, String rules) implements Frame {}

    /** The new one is warm and asks for what was counted. */
    record Take() implements Frame {}

    /** What one service's module has counted; {@code last}: of all services. */
    record Counted(String service, List<Kept> kept, boolean last) implements Frame {}

    /** The new one listens for consumers. */
    record Serving() implements Frame {}

    /** What one service's module has counted since the last time. */
    record SpentSince(String service, List<Spent> spent) implements Frame {}
}
