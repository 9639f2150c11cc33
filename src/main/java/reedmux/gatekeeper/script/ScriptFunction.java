package reedmux.gatekeeper.script;

import java.util.Map;
import reedmux.gatekeeper.script.ScriptParser.DefinitionContext;

/**
 * A function that a script defines.
 *
 * @param definingScope    the scope of its definition, in which its body's free names are looked up
 * @param defaults the values of the parameters that have one, evaluated when it was defined
 */
record ScriptFunction(DefinitionContext definition, ScriptScope definingScope, Map<String, Object> defaults)
        implements ScriptValues.ScriptCallable {
    @Override
    public String name() {
        return definition.NAME().getText();
    }
}
