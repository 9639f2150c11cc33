package reedmux.gatekeeper.policy;

/** The units of one account that a packet carried, retained until the packet is acknowledged. */
record CarriedUnits(CustomerAccount account, double units, boolean countIncluded) {}
