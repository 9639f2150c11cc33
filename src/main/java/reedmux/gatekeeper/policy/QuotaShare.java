package reedmux.gatekeeper.policy;

/**
 * The fraction of this gateway's shares that belongs to this process: 1 unless a second process serves as the same
 * gateway.
 */
final class QuotaShare {
    double fraction = 1;
}
