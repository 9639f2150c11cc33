package reedmux.gatekeeper.failover;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The regions that a request has passed, the first one first, as the hop header tells them:
 * {@code X-Region-Path: east} or {@code east, west}.
 */
public record RegionPath(List<String> regions) {
    /** A region's name: a token that cannot be taken for two. */
    public static final Pattern REGION_NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    /** More than any request can have passed, and short enough to read. */
    private static final int MAX_HEADER_LENGTH = 256;

    public RegionPath {
        regions = List.copyOf(regions);
    }

    /** Reads a header's value; null where it is no list of names. */
    public static RegionPath parse(String header) {
        if (header.length() > MAX_HEADER_LENGTH) {
            return null;
        }
        List<String> names =
                Arrays.stream(header.split(",", -1)).map(String::strip).toList();
        return names.stream().allMatch(name -> REGION_NAME.matcher(name).matches()) ? new RegionPath(names) : null;
    }

    /** The region that sent it to us. */
    public String lastHop() {
        return regions.get(regions.size() - 1);
    }

    @Override
    public String toString() {
        return String.join(", ", regions);
    }
}
