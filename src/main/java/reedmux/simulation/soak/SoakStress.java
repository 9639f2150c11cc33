package reedmux.simulation.soak;

/**
 * What peers and operators do in a soak beyond ordinary traffic.
 *
 * @param uploadsPerSecond the rate of large request bodies that each proxy receives, in requests per second
 * @param largeUploaders the number of clients that send bodies of up to 8 MB one after the other; with any, checkers
 *     read late at times
 * @param spoiltShare the share of the checkers' answers that do not end or are malformed
 * @param killsAfterAcknowledgements whether all processes are killed right after acknowledgements of changes and leaves
 * @param extremeSettings whether operators set durations and limits to the ends of their ranges
 */
public record SoakStress(
        int uploadsPerSecond,
        int largeUploaders,
        double spoiltShare,
        boolean killsAfterAcknowledgements,
        boolean extremeSettings) {
    /** Ordinary traffic only. */
    public static final SoakStress NONE = new SoakStress(0, 0, 0, false, false);
}
