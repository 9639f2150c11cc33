package reedmux.gatekeeper.script;

import java.util.Collection;
import java.util.Comparator;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests the known name that is closest to a misspelt one, by edit distance. */
final class NameSuggestions {
    private static final int MAX_EDITS = 3;

    private NameSuggestions() {}

    /**
     * Returns {@code ", did you mean 'NAME'?"} with the closest known name, to be appended to an error message, or an
     * empty string if no known name is similar.
     */
    static String suggest(String name, Collection<String> knownNames) {
        int maxDistance = Math.min(MAX_EDITS, Math.max(1, name.length() / 2));
        LevenshteinDistance distance = new LevenshteinDistance(maxDistance);
        return knownNames.stream()
                .filter(candidate -> distance.apply(name, candidate) >= 0)
                .min(Comparator.<String>comparingInt(candidate -> distance.apply(name, candidate))
                        .thenComparing(Comparator.naturalOrder()))
                .map(candidate -> ", did you mean '" + candidate + "'?")
                .orElse("");
    }
}
