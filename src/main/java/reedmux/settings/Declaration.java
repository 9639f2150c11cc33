package reedmux.settings;

import java.util.List;
import java.util.Map;
import reedmux.settings.ScriptException.Place;

/** Something that a script declares, such as {@code budget(share = 0.1)}, with where each key was told. */
record Declaration(String kind, Place place, Map<String, Told> keys) {

    /** One key's value and its place. */
    record Told(Object value, Place place) {}

    /** A function of the script that declares; {@code whole}: a call of it stands for itself. */
    record Kind(String name, boolean whole, List<String> keys) implements Values.Function {}

    @Override
    public String toString() {
        return kind + "(...)";
    }
}
