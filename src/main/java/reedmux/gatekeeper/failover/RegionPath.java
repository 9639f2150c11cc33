package reedmux.gatekeeper.failover;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The regions that a request has passed through, in order, as listed in the header {@code X-Region-Path}: {@code east}
 * or {@code east, west}.
 */
public record RegionPath(List<String> regions) {
    /** Pattern of a region name, which cannot contain the separator of the list. */
    public static final Pattern REGION_NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    /**
     * Maximum header length in characters; longer headers are rejected without parsing. No valid header comes close to
     * it.
     */
    private static final int MAX_HEADER_LENGTH = 256;

    /** Copies the list, so that later changes to it do not affect this path. */
    public RegionPath {
        regions = List.copyOf(regions);
    }

    /** Parses a header value; returns null if it is not a list of region names. */
    public static RegionPath parse(String header) {
        if (header.length() > MAX_HEADER_LENGTH) {
            return null;
        }
        List<String> names =
                Arrays.stream(header.split(",", -1)).map(String::strip).toList();
        return names.stream().allMatch(name -> REGION_NAME.matcher(name).matches()) ? new RegionPath(names) : null;
    }

    /** Returns the region that sent the request to this one. */
    public String lastHop() {
        return regions.get(regions.size() - 1);
    }

    @Override
    public String toString() {
        return String.join(", ", regions);
    }
}
