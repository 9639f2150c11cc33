package reedmux.gatekeeper.script;

import java.util.Collection;
import java.util.Comparator;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests which known name a misspelt one may mean, by edit distance. */
final class NameSuggestions {
    private static final int MAX_EDITS = 3;

    private NameSuggestions() {}

    /** {@code ", did you mean 'NAME'?"} with the nearest known name, to end a message; empty if none is near. */
    static String suggest(String name, Collection<String> knownNames) {
        int maxDistance = Math.min(MAX_EDITS, Math.max(1, name.length() / 2));
        LevenshteinDistance distance = new LevenshteinDistance(maxDistance);
        return knownNames.stream()
                .filter(other -> distance.apply(name, other) >= 0)
                .min(Comparator.<String>comparingInt(other -> distance.apply(name, other))
                        .thenComparing(Comparator.naturalOrder()))
                .map(other -> ", did you mean '" + other + "'?")
                .orElse("");
    }
}
