package reedmux.gatekeeper.script;

import static reedmux.gatekeeper.script.ScriptSyntax.positionOf;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.Declaration.DeclarationKind;
import reedmux.gatekeeper.script.Declaration.DeclaredValue;
import reedmux.gatekeeper.script.ScriptBuiltins.BuiltinFunction;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptParser.ArgumentContext;
import reedmux.gatekeeper.script.ScriptParser.CallContext;
import reedmux.gatekeeper.script.ScriptParser.DefinitionContext;
import reedmux.gatekeeper.script.ScriptParser.ParameterContext;

/** Evaluates calls of declarations, of functions that the script defines, of builtin functions and of methods. */
final class CallEvaluator {

    /** The arguments of a call, evaluated in source order. */
    private record Arguments(ScriptPosition position, List<Object> positional, Map<String, DeclaredValue> named) {}

    private final ScriptMeter meter;
    private final ScriptBuiltins builtins;
    private final ScriptMethods methods;
    private final ExpressionEvaluator expressions;
    private final AssignmentExecutor assignments;
    private final StatementExecutor statements;
    private final List<Declaration> declarations = new ArrayList<>();
    /** The functions whose bodies are being executed, the innermost first; used to detect recursion. */
    private final Deque<DefinitionContext> callStack = new ArrayDeque<>();

    CallEvaluator(
            ScriptMeter meter,
            ScriptBuiltins builtins,
            ScriptMethods methods,
            ExpressionEvaluator expressions,
            AssignmentExecutor assignments,
            StatementExecutor statements) {
        this.meter = meter;
        this.builtins = builtins;
        this.methods = methods;
        this.expressions = expressions;
        this.assignments = assignments;
        this.statements = statements;
    }

    /** Returns the top-level declarations made so far, in execution order. */
    List<Declaration> declarations() {
        return declarations;
    }

    Object call(CallContext call, ScriptScope scope) {
        Object callee = expressions.evaluate(call.test(), scope);
        Arguments arguments = evaluateArguments(call, scope);
        if (callee instanceof DeclarationKind kind) {
            return declare(kind, arguments);
        } else if (callee instanceof ScriptFunction function) {
            return call(function, arguments);
        } else if (callee instanceof BoundMethod method) {
            rejectNamed(method.name(), arguments);
            return methods.call(arguments.position, method.receiver(), method.name(), arguments.positional);
        } else if (callee instanceof BuiltinFunction builtin) {
            rejectNamed(builtin.name(), arguments);
            return builtins.call(arguments.position, builtin, arguments.positional);
        }
        throw new UncheckedScriptException(
                arguments.position, "a " + ScriptValues.typeName(callee) + " cannot be called");
    }

    private Arguments evaluateArguments(CallContext call, ScriptScope scope) {
        List<Object> positional = new ArrayList<>();
        Map<String, DeclaredValue> named = new LinkedHashMap<>();
        for (ArgumentContext argument : call.argument()) {
            Object value = expressions.evaluate(argument.test(), scope);
            ScriptPosition position = positionOf(argument);
            if (argument.NAME() == null) {
                if (!named.isEmpty()) {
                    throw new UncheckedScriptException(position, "a positional argument follows a named argument");
                }
                positional.add(value);
                continue;
            }
            String name = argument.NAME().getText();
            if (named.put(name, new DeclaredValue(value, position)) != null) {
                throw new UncheckedScriptException(position, "'" + name + "' is told twice");
            }
        }
        return new Arguments(positionOf(call), positional, named);
    }

    private static void rejectNamed(String function, Arguments arguments) {
        arguments.named.forEach((name, argument) -> {
            throw new UncheckedScriptException(argument.position(), function + " takes no '" + name + "'");
        });
    }

    private Declaration declare(DeclarationKind kind, Arguments arguments) {
        if (!arguments.positional.isEmpty()) {
            String firstKey = kind.keys().get(0);
            throw new UncheckedScriptException(
                    arguments.position, kind.name() + " takes its values by name, as in " + firstKey + " = ...");
        }
        arguments.named.forEach((name, argument) -> {
            if (!kind.keys().contains(name)) {
                throw new UncheckedScriptException(
                        argument.position(),
                        kind.name() + " has no key '" + name + "'" + NameSuggestions.suggest(name, kind.keys()));
            }
        });
        meter.countElements(arguments.position, arguments.named.size() + 1L);
        Declaration declaration = new Declaration(kind.name(), arguments.position, arguments.named);
        if (kind.topLevel()) {
            declarations.add(declaration);
        }
        return declaration;
    }

    private Object call(ScriptFunction function, Arguments arguments) {
        if (callStack.contains(function.definition())) {
            throw new UncheckedScriptException(
                    arguments.position, "'" + function.name() + "' calls itself: recursion is not allowed");
        }
        Map<String, Object> values = matchParameters(function, arguments);
        ScriptScope scope = new ScriptScope(function.definingScope());
        for (ParameterContext parameter : function.definition().parameter()) {
            String name = parameter.NAME().getText();
            Object value = values.get(name);
            if (value == null) {
                throw new UncheckedScriptException(
                        arguments.position, "'" + function.name() + "' needs '" + name + "'");
            }
            assignments.bind(parameter.NAME().getSymbol(), value, scope);
        }
        meter.enter(arguments.position);
        callStack.push(function.definition());
        try {
            return statements.executeBody(function.definition().suite(), scope);
        } finally {
            callStack.pop();
            meter.leave();
        }
    }

    /**
     * Maps parameter names to their values. A parameter that has neither an argument nor a default is missing from the
     * map.
     */
    private static Map<String, Object> matchParameters(ScriptFunction function, Arguments arguments) {
        List<String> names = function.definition().parameter().stream()
                .map(parameter -> parameter.NAME().getText())
                .toList();
        int positionalCount = arguments.positional.size();
        if (positionalCount > names.size()) {
            throw new UncheckedScriptException(
                    arguments.position,
                    "'" + function.name() + "' takes " + names.size() + " values, not " + positionalCount);
        }
        Map<String, Object> values = new HashMap<>(function.defaults());
        for (int i = 0; i < positionalCount; i++) {
            values.put(names.get(i), arguments.positional.get(i));
        }
        arguments.named.forEach((name, argument) -> {
            int index = names.indexOf(name);
            if (index < 0) {
                throw new UncheckedScriptException(
                        argument.position(),
                        "'" + function.name() + "' has no parameter '" + name + "'"
                                + NameSuggestions.suggest(name, names));
            } else if (index < positionalCount) {
                throw new UncheckedScriptException(
                        argument.position(), "'" + function.name() + "' receives '" + name + "' more than once");
            }
            values.put(name, argument.value());
        });
        return values;
    }
}
