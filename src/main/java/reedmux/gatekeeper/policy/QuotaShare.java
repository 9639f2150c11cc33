package reedmux.gatekeeper.policy;

/** The part of this gateway's shares that is this process's: all, unless another process is the gateway too. */
final class QuotaShare {
    double fraction = 1;
}
