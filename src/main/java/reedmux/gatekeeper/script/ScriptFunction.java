package reedmux.gatekeeper.script;

import java.util.Map;
import reedmux.gatekeeper.script.ScriptParser.DefinitionContext;

/**
 * A function that a script defines.
 *
 * @param scope    the scope of its definition, in which its body's free names are looked up
 * @param defaults the values of the parameters that have one, evaluated when it was defined
 */
record ScriptFunction(DefinitionContext code, ScriptScope scope, Map<String, Object> defaults)
        implements ScriptValues.ScriptCallable {
    @Override
    public String name() {
        return code.NAME().getText();
    }
}
