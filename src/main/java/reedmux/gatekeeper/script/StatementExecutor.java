package reedmux.gatekeeper.script;

import static reedmux.gatekeeper.script.ScriptSyntax.positionOf;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reedmux.gatekeeper.script.ScriptParser.AssignmentContext;
import reedmux.gatekeeper.script.ScriptParser.BranchContext;
import reedmux.gatekeeper.script.ScriptParser.BreakingContext;
import reedmux.gatekeeper.script.ScriptParser.ContinuingContext;
import reedmux.gatekeeper.script.ScriptParser.DefinitionContext;
import reedmux.gatekeeper.script.ScriptParser.ExpressionContext;
import reedmux.gatekeeper.script.ScriptParser.LoopContext;
import reedmux.gatekeeper.script.ScriptParser.ParameterContext;
import reedmux.gatekeeper.script.ScriptParser.ReturningContext;
import reedmux.gatekeeper.script.ScriptParser.SimpleContext;
import reedmux.gatekeeper.script.ScriptParser.SmallContext;
import reedmux.gatekeeper.script.ScriptParser.StatementContext;
import reedmux.gatekeeper.script.ScriptParser.SuiteContext;

/** Executes statements: simple statements, conditionals, loops and function definitions. */
final class StatementExecutor {

    /** How the execution of a statement or a suite completed. */
    enum Completion {
        NORMAL,
        BREAK,
        CONTINUE,
        RETURN
    }

    private final ScriptMeter meter;
    private final ScriptCollections collections;
    private final ExpressionEvaluator expressions;
    private final AssignmentExecutor assignments;
    /** The value of the most recently executed {@code return} statement. */
    private Object returnValue;

    StatementExecutor(
            ScriptMeter meter,
            ScriptCollections collections,
            ExpressionEvaluator expressions,
            AssignmentExecutor assignments) {
        this.meter = meter;
        this.collections = collections;
        this.expressions = expressions;
        this.assignments = assignments;
    }

    /** Executes the body of a function and returns its value, which is {@code None} without a {@code return}. */
    Object executeBody(SuiteContext body, ScriptScope scope) {
        return execute(body, scope) == Completion.RETURN ? returnValue : ScriptValues.NONE;
    }

    Completion execute(StatementContext statement, ScriptScope scope) {
        if (statement.simple() != null) {
            return execute(statement.simple(), scope);
        } else if (statement.branch() != null) {
            return execute(statement.branch(), scope);
        } else if (statement.loop() != null) {
            return execute(statement.loop(), scope);
        }
        define(statement.definition(), scope);
        return Completion.NORMAL;
    }

    private Completion execute(SuiteContext suite, ScriptScope scope) {
        if (suite.simple() != null) {
            return execute(suite.simple(), scope);
        }
        for (StatementContext statement : suite.statement()) {
            Completion completion = execute(statement, scope);
            if (completion != Completion.NORMAL) {
                return completion;
            }
        }
        return Completion.NORMAL;
    }

    private Completion execute(BranchContext branch, ScriptScope scope) {
        for (int i = 0; i < branch.test().size(); i++) {
            if (ScriptValues.isTruthy(expressions.evaluate(branch.test(i), scope))) {
                return execute(branch.suite(i), scope);
            }
        }
        return branch.otherwise() == null
                ? Completion.NORMAL
                : execute(branch.otherwise().suite(), scope);
    }

    private Completion execute(LoopContext loop, ScriptScope scope) {
        Object list = expressions.evaluate(loop.tests(), scope);
        for (Object value : collections.elements(positionOf(loop.tests()), list)) {
            assignments.assign(loop.target(), value, scope);
            Completion completion = execute(loop.suite(), scope);
            if (completion == Completion.RETURN) {
                return completion;
            } else if (completion == Completion.BREAK) {
                break;
            }
        }
        return Completion.NORMAL;
    }

    private Completion execute(SimpleContext line, ScriptScope scope) {
        for (SmallContext statement : line.small()) {
            meter.countStep(positionOf(statement));
            if (statement instanceof ReturningContext returning) {
                returnValue =
                        returning.tests() == null ? ScriptValues.NONE : expressions.evaluate(returning.tests(), scope);
                return Completion.RETURN;
            } else if (statement instanceof BreakingContext) {
                return Completion.BREAK;
            } else if (statement instanceof ContinuingContext) {
                return Completion.CONTINUE;
            } else if (statement instanceof AssignmentContext assignment) {
                assignments.execute(assignment, scope);
            } else if (statement instanceof ExpressionContext expression) {
                expressions.evaluate(expression.tests(), scope);
            }
        }
        return Completion.NORMAL;
    }

    private void define(DefinitionContext definition, ScriptScope scope) {
        Map<String, Object> defaults = new HashMap<>();
        Set<String> names = new TreeSet<>();
        for (ParameterContext parameter : definition.parameter()) {
            String name = parameter.NAME().getText();
            if (!names.add(name)) {
                throw new UncheckedScriptException(
                        positionOf(parameter), "the parameter '" + name + "' is declared twice");
            }
            if (parameter.test() != null) {
                defaults.put(name, expressions.evaluate(parameter.test(), scope));
            } else if (!defaults.isEmpty()) {
                throw new UncheckedScriptException(
                        positionOf(parameter),
                        "the parameter '" + name + "' needs a default, since an earlier parameter has one");
            }
        }
        assignments.bind(definition.NAME().getSymbol(), new ScriptFunction(definition, scope, defaults), scope);
    }
}
