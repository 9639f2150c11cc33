package reedmux.gatekeeper.policy;

/** What a packet carried for one account, kept until the packet is acknowledged. */
record CarriedUnits(CustomerAccount account, double units, boolean countIncluded) {}
