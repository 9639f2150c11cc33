package reedmux.gatekeeper.failover;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The regions that a request has passed, in order, as the header {@code X-Region-Path} lists them: {@code east} or
 * {@code east, west}.
 */
public record RegionPath(List<String> regions) {
    /** A region's name; it cannot contain the list's separator. */
    public static final Pattern REGION_NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    /** A longer header is rejected unread; no valid one is nearly as long. */
    private static final int MAX_HEADER_LENGTH = 256;

    /** A path that does not change with the given list. */
    public RegionPath {
        regions = List.copyOf(regions);
    }

    /** Parses a header's value; null if it is no list of region names. */
    public static RegionPath parse(String header) {
        if (header.length() > MAX_HEADER_LENGTH) {
            return null;
        }
        List<String> names =
                Arrays.stream(header.split(",", -1)).map(String::strip).toList();
        return names.stream().allMatch(name -> REGION_NAME.matcher(name).matches()) ? new RegionPath(names) : null;
    }

    /** The region that sent the request to us. */
    public String lastHop() {
        return regions.get(regions.size() - 1);
    }

    @Override
    public String toString() {
        return String.join(", ", regions);
    }
}
