package reedmux.gatekeeper.script;

import java.util.Map;
import reedmux.gatekeeper.script.ScriptParser.DefinitionContext;

/**
 * A function defined by a script.
 *
 * @param definition    the syntax tree of the function
 * @param definingScope the scope that contains the definition; it resolves the names that are not local to the body
 * @param defaults      the default values of parameters, evaluated when the definition was executed
 */
record ScriptFunction(DefinitionContext definition, ScriptScope definingScope, Map<String, Object> defaults)
        implements ScriptValues.ScriptCallable {
    @Override
    public String name() {
        return definition.NAME().getText();
    }
}
