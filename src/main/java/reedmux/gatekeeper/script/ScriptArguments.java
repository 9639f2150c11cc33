package reedmux.gatekeeper.script;

import java.util.List;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Checks the number and types of the arguments of builtin functions and methods. */
final class ScriptArguments {
    private ScriptArguments() {}

    static void checkCount(ScriptPosition position, String function, List<Object> arguments, int min, int max) {
        if (arguments.size() < min || arguments.size() > max) {
            String expected = min == max ? Integer.toString(min) : min + " to " + max;
            throw new UncheckedScriptException(
                    position, function + " takes " + expected + " values, not " + arguments.size());
        }
    }

    static String requireString(ScriptPosition position, Object value) {
        if (value instanceof String text) {
            return text;
        }
        throw new UncheckedScriptException(position, "a string is needed, not a " + ScriptValues.typeName(value));
    }

    static Number requireNumber(ScriptPosition position, Object value) {
        if (value instanceof Number number) {
            return number;
        }
        throw new UncheckedScriptException(position, "a number is needed, not a " + ScriptValues.typeName(value));
    }
}
