package reedmux.gatekeeper.script;

import java.util.List;
import java.util.Locale;
import reedmux.gatekeeper.script.Declaration.DeclarationKind;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptParser.StatementContext;
import reedmux.gatekeeper.script.StatementExecutor.Completion;

/**
 * Executes a settings script from top to bottom and collects its declarations. Execution always terminates: loops
 * iterate over finite lists, recursion is an error, and a {@link ScriptMeter} limits steps, memory and nesting depth.
 */
public final class ScriptInterpreter {
    /** The maximum length of a script, in characters. A longer script is rejected before it is parsed. */
    public static final int MAX_SCRIPT_CHARS = 256 * 1024;

    private final ScriptScope globals;
    private final StatementExecutor statements;
    private final CallEvaluator calls;

    private ScriptInterpreter(List<DeclarationKind> kinds) {
        ScriptScope builtinNames = new ScriptScope(null);
        ScriptBuiltins.ALL.forEach(function -> builtinNames.bind(function.name(), function));
        kinds.forEach(kind -> builtinNames.bind(kind.name(), kind));
        globals = new ScriptScope(builtinNames);
        ScriptMeter meter = new ScriptMeter();
        ScriptOperators operators = new ScriptOperators(meter);
        ScriptCollections collections = new ScriptCollections(meter);
        ScriptBuiltins builtins = new ScriptBuiltins(meter, operators, collections);
        ScriptMethods methods = new ScriptMethods(meter, collections);
        ExpressionEvaluator expressions = new ExpressionEvaluator(meter, operators, collections);
        AssignmentExecutor assignments =
                new AssignmentExecutor(meter, builtinNames, operators, collections, expressions);
        statements = new StatementExecutor(meter, collections, expressions, assignments);
        calls = new CallEvaluator(meter, builtins, methods, expressions, assignments, statements);
        expressions.setDelegates(assignments, calls);
    }

    /**
     * Executes a script.
     *
     * @param file   the name of the script in error messages
     * @param script the text of the script
     * @param kinds  the declarations that a script can make
     * @return the top-level declarations, in execution order
     * @throws ScriptException if the script has an error; the message includes the position and, where one is involved,
     *                         the invalid name
     */
    public static List<Declaration> run(String file, String script, List<DeclarationKind> kinds)
            throws ScriptException {
        if (script.length() > MAX_SCRIPT_CHARS) {
            throw new ScriptException(
                    file,
                    ScriptPosition.START,
                    "the script is longer than " + MAX_SCRIPT_CHARS + " characters: " + script.length());
        }
        try {
            return new ScriptInterpreter(kinds).execute(script);
        } catch (UncheckedScriptException e) {
            throw new ScriptException(file, e);
        } catch (StackOverflowError e) {
            throw new ScriptException(file, ScriptPosition.START, "the script is nested too deeply", e);
        }
    }

    private List<Declaration> execute(String script) {
        for (StatementContext statement : ScriptSyntax.parse(script).statement()) {
            Completion completion = statements.execute(statement, globals);
            if (completion != Completion.NORMAL) {
                String keyword = completion.name().toLowerCase(Locale.ROOT);
                String needed = completion == Completion.RETURN ? "a function" : "a loop";
                throw new UncheckedScriptException(
                        ScriptSyntax.positionOf(statement), "'" + keyword + "' outside of " + needed);
            }
        }
        return calls.declarations();
    }
}
