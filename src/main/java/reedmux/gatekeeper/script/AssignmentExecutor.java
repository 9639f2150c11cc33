package reedmux.gatekeeper.script;

import static reedmux.gatekeeper.script.ScriptSyntax.positionOf;

import java.util.List;
import org.antlr.v4.runtime.Token;
import reedmux.gatekeeper.script.ScriptParser.AssignmentContext;
import reedmux.gatekeeper.script.ScriptParser.PlaceContext;
import reedmux.gatekeeper.script.ScriptParser.TargetContext;

/** Executes assignments to names, to several targets at once (unpacking), and to elements of lists and dicts. */
final class AssignmentExecutor {
    private final ScriptMeter meter;
    private final ScriptScope builtins;
    private final ScriptOperators operators;
    private final ScriptCollections collections;
    private final ExpressionEvaluator expressions;

    AssignmentExecutor(
            ScriptMeter meter,
            ScriptScope builtins,
            ScriptOperators operators,
            ScriptCollections collections,
            ExpressionEvaluator expressions) {
        this.meter = meter;
        this.builtins = builtins;
        this.operators = operators;
        this.collections = collections;
        this.expressions = expressions;
    }

    /** Binds a name in {@code scope}. The names of declarations are reserved and cannot be rebound. */
    void bind(Token name, Object value, ScriptScope scope) {
        if (builtins.lookUpLocal(name.getText()) instanceof Declaration.DeclarationKind) {
            throw new UncheckedScriptException(
                    UncheckedScriptException.positionOf(name),
                    "'" + name.getText() + "' is a function of ours and keeps its meaning");
        }
        meter.countElements(UncheckedScriptException.positionOf(name), 1);
        scope.bind(name.getText(), value);
    }

    /** Executes {@code target = value} or an augmented assignment such as {@code target += value}. */
    void execute(AssignmentContext assignment, ScriptScope scope) {
        Object value = expressions.evaluate(assignment.tests(), scope);
        String operator = assignment.op.getText();
        if (!operator.equals("=")) {
            Object current = currentValue(assignment, scope);
            value = operators.binary(
                    UncheckedScriptException.positionOf(assignment.op),
                    operator.substring(0, operator.length() - 1),
                    current,
                    value);
        }
        assign(assignment.target(), value, scope);
    }

    private Object currentValue(AssignmentContext assignment, ScriptScope scope) {
        TargetContext target = assignment.target();
        if (target.place().size() != 1 || target.place(0).target() != null) {
            throw new UncheckedScriptException(
                    positionOf(target),
                    "'" + assignment.op.getText() + "' needs a single name or element as its target");
        }
        PlaceContext place = target.place(0);
        return place.NAME() != null ? scope.resolveLocal(place.NAME().getSymbol()) : element(place, scope);
    }

    /** Assigns a value to a target. A target with several places unpacks the elements of the value. */
    void assign(TargetContext target, Object value, ScriptScope scope) {
        boolean several = target.place().size() > 1 || target.getText().endsWith(",");
        if (!several) {
            assign(target.place(0), value, scope);
            return;
        }
        List<Object> values = collections.elements(positionOf(target), value);
        if (values.size() != target.place().size()) {
            throw new UncheckedScriptException(
                    positionOf(target), target.place().size() + " names for " + values.size() + " values");
        }
        for (int i = 0; i < values.size(); i++) {
            assign(target.place(i), values.get(i), scope);
        }
    }

    private void assign(PlaceContext place, Object value, ScriptScope scope) {
        if (place.NAME() != null) {
            bind(place.NAME().getSymbol(), value, scope);
        } else if (place.target() != null) {
            assign(place.target(), value, scope);
        } else {
            Object container = evaluatePlace(place.place(), scope);
            Object key = expressions.evaluate(place.test(), scope);
            collections.setElement(positionOf(place), container, key, value);
        }
    }

    /** Evaluates a place whose value is the container of an element that is read or assigned. */
    private Object evaluatePlace(PlaceContext place, ScriptScope scope) {
        if (place.NAME() != null) {
            return scope.resolve(place.NAME().getSymbol());
        } else if (place.target() != null) {
            throw new UncheckedScriptException(positionOf(place), "a target in parentheses cannot be indexed");
        }
        return element(place, scope);
    }

    private Object element(PlaceContext place, ScriptScope scope) {
        Object container = evaluatePlace(place.place(), scope);
        Object key = expressions.evaluate(place.test(), scope);
        return collections.element(positionOf(place), container, key);
    }
}
