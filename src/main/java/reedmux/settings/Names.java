package reedmux.settings;

import java.util.Collection;
import java.util.Comparator;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds what a misspelt name may have meant. */
final class Names {
    private static final int MOST_EDITS = 3;

    private Names() {}

    /** {@code ", did you mean 'NAME'?"} with the nearest of the known names, or nothing if none is near. */
    static String hint(String name, Collection<String> known) {
        int most = Math.min(MOST_EDITS, Math.max(1, name.length() / 2));
        LevenshteinDistance distance = new LevenshteinDistance(most);
        return known.stream()
                .filter(other -> distance.apply(name, other) >= 0)
                .min(Comparator.<String>comparingInt(other -> distance.apply(name, other))
                        .thenComparing(Comparator.naturalOrder()))
                .map(other -> ", did you mean '" + other + "'?")
                .orElse("");
    }
}
