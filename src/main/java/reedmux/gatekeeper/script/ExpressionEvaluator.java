package reedmux.gatekeeper.script;

import static reedmux.gatekeeper.script.ScriptSyntax.positionOf;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.antlr.v4.runtime.Token;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptParser.*;

/**
 * Evaluates expressions. It delegates calls to {@link CallEvaluator} and the targets of comprehensions to
 * {@link AssignmentExecutor}. Both evaluate expressions themselves, so this circular dependency is resolved by setting
 * them after construction.
 */
final class ExpressionEvaluator {
    private final ScriptMeter meter;
    private final ScriptOperators operators;
    private final ScriptCollections collections;
    private AssignmentExecutor assignments;
    private CallEvaluator calls;

    ExpressionEvaluator(ScriptMeter meter, ScriptOperators operators, ScriptCollections collections) {
        this.meter = meter;
        this.operators = operators;
        this.collections = collections;
    }

    /** Sets the delegates. Must be called once, before any expression is evaluated. */
    void setDelegates(AssignmentExecutor assignmentExecutor, CallEvaluator callEvaluator) {
        assignments = assignmentExecutor;
        calls = callEvaluator;
    }

    /** Evaluates a single expression, or several expressions separated by commas to a list. */
    Object evaluate(TestsContext tests, ScriptScope scope) {
        if (tests.test().size() == 1 && tests.comma == null) {
            return evaluate(tests.test(0), scope);
        }
        return list(positionOf(tests), tests.test(), scope);
    }

    private List<Object> list(ScriptPosition position, List<TestContext> tests, ScriptScope scope) {
        meter.countElements(position, tests.size() + 1L);
        List<Object> list = new ArrayList<>();
        for (TestContext test : tests) {
            list.add(evaluate(test, scope));
        }
        return list;
    }

    Object evaluate(TestContext test, ScriptScope scope) {
        meter.enter(positionOf(test));
        try {
            if (test instanceof AtomicContext atomic) {
                return evaluate(atomic.atom(), scope);
            } else if (test instanceof CallContext call) {
                return calls.call(call, scope);
            } else if (test instanceof NegationContext
                    || test instanceof ConjunctionContext
                    || test instanceof DisjunctionContext
                    || test instanceof ChoiceContext) {
                return evaluateLogic(test, scope);
            } else if (test instanceof AttributeContext
                    || test instanceof ElementContext
                    || test instanceof SliceContext) {
                return evaluateAccess(test, scope);
            }
            return evaluateOperator(test, scope);
        } finally {
            meter.leave();
        }
    }

    // ---- Operators ---------------------------------------------------------------------------------
    /** Evaluates {@code not}, {@code and}, {@code or} and {@code if else}, the last three with short-circuiting. */
    private Object evaluateLogic(TestContext test, ScriptScope scope) {
        if (test instanceof NegationContext negation) {
            return !ScriptValues.isTruthy(evaluate(negation.test(), scope));
        } else if (test instanceof ConjunctionContext conjunction) {
            Object first = evaluate(conjunction.test(0), scope);
            return ScriptValues.isTruthy(first) ? evaluate(conjunction.test(1), scope) : first;
        } else if (test instanceof DisjunctionContext disjunction) {
            Object first = evaluate(disjunction.test(0), scope);
            return ScriptValues.isTruthy(first) ? first : evaluate(disjunction.test(1), scope);
        }
        ChoiceContext choice = (ChoiceContext) test;
        boolean condition = ScriptValues.isTruthy(evaluate(choice.test(1), scope));
        return evaluate(choice.test(condition ? 0 : 2), scope);
    }

    private Object evaluateOperator(TestContext test, ScriptScope scope) {
        if (test instanceof SignContext sign) {
            return operators.sign(positionOf(sign), sign.op.getText(), evaluate(sign.test(), scope));
        } else if (test instanceof ProductContext product) {
            return binary(product.op, product.test(0), product.test(1), scope);
        } else if (test instanceof SumContext sum) {
            return binary(sum.op, sum.test(0), sum.test(1), scope);
        }
        ComparisonContext comparison = (ComparisonContext) test;
        boolean negated = comparison.getChild(1).getText().equals("not"); // "not in"
        boolean result = operators.compare(
                UncheckedScriptException.positionOf(comparison.op),
                comparison.op.getText(),
                evaluate(comparison.test(0), scope),
                evaluate(comparison.test(1), scope));
        return result != negated;
    }

    private Object binary(Token operator, TestContext left, TestContext right, ScriptScope scope) {
        return operators.binary(
                UncheckedScriptException.positionOf(operator),
                operator.getText(),
                evaluate(left, scope),
                evaluate(right, scope));
    }

    // ---- Elements and methods ----------------------------------------------------------------------
    private Object evaluateAccess(TestContext test, ScriptScope scope) {
        if (test instanceof ElementContext element) {
            Object container = evaluate(element.test(0), scope);
            return collections.element(positionOf(test), container, evaluate(element.test(1), scope));
        } else if (test instanceof SliceContext slice) {
            return collections.slice(
                    positionOf(test),
                    evaluate(slice.test(0), scope),
                    slice.low == null ? null : evaluate(slice.low, scope),
                    slice.high == null ? null : evaluate(slice.high, scope));
        }
        return boundMethod((AttributeContext) test, scope);
    }

    private Object boundMethod(AttributeContext attribute, ScriptScope scope) {
        Object value = evaluate(attribute.test(), scope);
        String name = attribute.NAME().getText();
        List<String> known = ScriptMethods.namesOf(value);
        if (!known.contains(name)) {
            throw new UncheckedScriptException(
                    UncheckedScriptException.positionOf(attribute.NAME().getSymbol()),
                    "a " + ScriptValues.typeName(value) + " has no '" + name + "'"
                            + NameSuggestions.suggest(name, known));
        }
        return new BoundMethod(value, name);
    }

    // ---- Atoms -------------------------------------------------------------------------------------
    private Object evaluate(AtomContext atom, ScriptScope scope) {
        ScriptPosition position = positionOf(atom);
        if (atom instanceof NameContext name) {
            return scope.resolve(name.NAME().getSymbol());
        } else if (atom instanceof IntegerContext integer) {
            return ScriptLiterals.parseInteger(position, integer.getText());
        } else if (atom instanceof DecimalContext decimal) {
            return ScriptLiterals.parseDecimal(position, decimal.getText());
        } else if (atom instanceof StringContext string) {
            return string(string);
        } else if (atom instanceof YesContext || atom instanceof NoContext) {
            return atom instanceof YesContext;
        } else if (atom instanceof NoneContext) {
            return ScriptValues.NONE;
        } else if (atom instanceof GroupContext group) {
            return group.tests() == null ? new ArrayList<>() : evaluate(group.tests(), scope);
        } else if (atom instanceof ListContext list) {
            return list(position, list.test(), scope);
        } else if (atom instanceof ListOfEachContext comprehension) {
            return listComprehension(comprehension, scope);
        } else if (atom instanceof DictContext dict) {
            Map<Object, Object> entries = new LinkedHashMap<>();
            dict.entry().forEach(entry -> putEntry(entries, entry, scope));
            return entries;
        }
        return dictComprehension((DictOfEachContext) atom, scope);
    }

    /** Concatenates adjacent string literals, as Python does. */
    private String string(StringContext literals) {
        StringBuilder text = new StringBuilder();
        literals.STRING().forEach(literal -> text.append(ScriptLiterals.unquote(literal.getSymbol())));
        meter.countCharacters(positionOf(literals), text.length());
        return text.toString();
    }

    private void putEntry(Map<Object, Object> dict, EntryContext entry, ScriptScope scope) {
        Object key = evaluate(entry.test(0), scope);
        collections.setElement(positionOf(entry), dict, key, evaluate(entry.test(1), scope));
    }

    // ---- Comprehensions ----------------------------------------------------------------------------
    private List<Object> listComprehension(ListOfEachContext comprehension, ScriptScope scope) {
        ScriptPosition position = positionOf(comprehension);
        List<Object> list = new ArrayList<>();
        evaluateClauses(comprehension.clause(), 0, new ScriptScope(scope), inner -> {
            meter.countElements(position, 1);
            list.add(evaluate(comprehension.test(), inner));
        });
        return list;
    }

    private Map<Object, Object> dictComprehension(DictOfEachContext comprehension, ScriptScope scope) {
        Map<Object, Object> dict = new LinkedHashMap<>();
        evaluateClauses(
                comprehension.clause(),
                0,
                new ScriptScope(scope),
                inner -> putEntry(dict, comprehension.entry(), inner));
        return dict;
    }

    /**
     * Evaluates the clauses of a comprehension, starting at {@code clauseIndex}, and calls {@code element} for each
     * combination of loop values that passes all filters.
     */
    private void evaluateClauses(
            List<ClauseContext> clauses, int clauseIndex, ScriptScope scope, Consumer<ScriptScope> element) {
        if (clauseIndex == clauses.size()) {
            element.accept(scope);
        } else if (clauses.get(clauseIndex) instanceof EachContext each) {
            Object list = evaluate(each.test(), scope);
            for (Object value : collections.elements(positionOf(each.test()), list)) {
                meter.countStep(positionOf(each));
                assignments.assign(each.target(), value, scope);
                evaluateClauses(clauses, clauseIndex + 1, scope, element);
            }
        } else if (ScriptValues.isTruthy(evaluate(((FilterContext) clauses.get(clauseIndex)).test(), scope))) {
            evaluateClauses(clauses, clauseIndex + 1, scope, element);
        }
    }
}
