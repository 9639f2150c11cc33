package reedmux.gatekeeper.policy;

import java.util.List;

/** A packet that a peer has not acknowledged yet, with the content to send again if it is lost. */
record UnacknowledgedPacket(long number, List<CarriedUnits> carried, List<Integer> members) {}
