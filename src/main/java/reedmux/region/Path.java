package reedmux.region;

import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The regions that a request has passed, the first one first, as the hop header tells them:
 * {@code X-Region-Path: east} or {@code east, west}.
 */
public record Path(List<String> regions) {
    /** A region's name: a token that cannot be taken for two. */
    public static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    /** More than any request can have passed, and short enough to read. */
    private static final int LONGEST = 256;

    public Path {
        regions = List.copyOf(regions);
    }

    /** Reads a header's value; null where it is no list of names. */
    public static Path read(String header) {
        if (header.length() > LONGEST) {
            return null;
        }
        List<String> names =
                Arrays.stream(header.split(",", -1)).map(String::strip).toList();
        return names.stream().allMatch(name -> NAME.matcher(name).matches()) ? new Path(names) : null;
    }

    /** The region that sent it to us. */
    public String from() {
        return regions.get(regions.size() - 1);
    }

    @Override
    public String toString() {
        return String.join(", ", regions);
    }
}
