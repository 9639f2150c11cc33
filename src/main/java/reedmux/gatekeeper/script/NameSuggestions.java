package reedmux.gatekeeper.script;

import java.util.Collection;
import java.util.Comparator;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds what a misspelt name may have meant. */
final class NameSuggestions {
    private static final int MAX_EDITS = 3;

    private NameSuggestions() {}

    /** {@code ", did you mean 'NAME'?"} with the nearest of the known names, or nothing if none is near. */
    static String suggest(String name, Collection<String> known) {
        int most = Math.min(MAX_EDITS, Math.max(1, name.length() / 2));
        LevenshteinDistance distance = new LevenshteinDistance(most);
        return known.stream()
                .filter(other -> distance.apply(name, other) >= 0)
                .min(Comparator.<String>comparingInt(other -> distance.apply(name, other))
                        .thenComparing(Comparator.naturalOrder()))
                .map(other -> ", did you mean '" + other + "'?")
                .orElse("");
    }
}
