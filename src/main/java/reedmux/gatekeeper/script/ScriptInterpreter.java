package reedmux.gatekeeper.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptParser.*;

/**
 * Runs a settings script from top to bottom and gathers what it declares. It always ends: no loop without a
 * list, no recursion, and a {@link ScriptMeter} over all.
 */
public final class ScriptInterpreter {
    /** Longest script, in characters; a generated one of 10 MB is refused before it is looked at. */
    public static final int MAX_SCRIPT_CHARS = 256 * 1024;

    /** How a suite ended. */
    private enum Completion {
        NORMAL,
        BREAK,
        CONTINUE,
        RETURN
    }

    /** Names and their values; what is not found here is looked for outside. */
    private static final class ScriptScope {
        final ScriptScope enclosing;
        final Map<String, Object> names = new HashMap<>();

        ScriptScope(ScriptScope outside) {
            this.enclosing = outside;
        }

        Object lookUp(String name) {
            Object found = names.get(name);
            return found != null || enclosing == null ? found : enclosing.lookUp(name);
        }
    }

    /** A function that the script defines. */
    private record ScriptFunction(DefinitionContext code, ScriptScope scope, Map<String, Object> defaults)
            implements ScriptValues.ScriptCallable {
        @Override
        public String name() {
            return code.NAME().getText();
        }
    }

    /** A value's own function, such as {@code list.append}. */
    private record BoundMethod(Object value, String name) implements ScriptValues.ScriptCallable {}

    private final ScriptMeter meter = new ScriptMeter();
    private final ScriptOperations operations = new ScriptOperations(meter);
    private final ScriptScope globals;
    private final List<Declaration> declarations = new ArrayList<>();
    private final Deque<DefinitionContext> callStack = new ArrayDeque<>();
    private Object returnValue;

    private ScriptInterpreter(List<Declaration.DeclarationKind> kinds) {
        ScriptScope builtins = new ScriptScope(null);
        ScriptOperations.BUILTINS.forEach(builtin -> builtins.names.put(builtin.name(), builtin));
        kinds.forEach(kind -> builtins.names.put(kind.name(), kind));
        globals = new ScriptScope(builtins);
    }

    /**
     * Runs a script.
     *
     * @param file the name under which errors tell of it
     * @return what it declares, in order
     * @throws ScriptException with the place and the name at fault
     */
    public static List<Declaration> run(String file, String script, List<Declaration.DeclarationKind> kinds)
            throws ScriptException {
        if (script.length() > MAX_SCRIPT_CHARS) {
            throw new ScriptException(
                    file,
                    new ScriptPosition(1, 1),
                    "the script is longer than " + MAX_SCRIPT_CHARS + " characters: " + script.length());
        }
        ScriptInterpreter interpreter = new ScriptInterpreter(kinds);
        try {
            for (StatementContext statement : parse(script).statement()) {
                Completion end = interpreter.run(statement, interpreter.globals);
                if (end != Completion.NORMAL) {
                    throw new ScriptFaultException(
                            ScriptFaultException.positionOf(statement.start),
                            "'" + end.name().toLowerCase(Locale.ROOT) + "' outside of "
                                    + (end == Completion.RETURN ? "a function" : "a loop"));
                }
            }
            return interpreter.declarations;
        } catch (ScriptFaultException e) {
            throw new ScriptException(file, e.position(), e.getMessage());
        } catch (StackOverflowError e) {
            throw new ScriptException(file, new ScriptPosition(1, 1), "the script is nested too deeply");
        }
    }

    private static FileContext parse(String script) {
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> recognizer,
                    Object symbol,
                    int line,
                    int column,
                    String message,
                    RecognitionException e) {
                String found = symbol instanceof Token token
                        ? switch (token.getType()) {
                            case Token.EOF -> "the end of the file";
                            case ScriptParser.NEWLINE -> "the end of the line";
                            case ScriptParser.INDENT -> "an indent";
                            case ScriptParser.DEDENT -> "the end of an indent";
                            default -> "'" + token.getText() + "'";
                        }
                        : "a character";
                throw new ScriptFaultException(new ScriptPosition(line, column + 1), found + " makes no sense here");
            }
        };
        ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(script));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        ScriptParser parser = new ScriptParser(new CommonTokenStream(new IndentationTokenSource(lexer)));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        return parser.file();
    }

    private static ScriptPosition positionOf(ParserRuleContext context) {
        return ScriptFaultException.positionOf(context.start);
    }

    // ---- Statements --------------------------------------------------------------------------------
    private Completion run(StatementContext statement, ScriptScope scope) {
        if (statement.simple() != null) {
            return run(statement.simple(), scope);
        } else if (statement.branch() != null) {
            BranchContext branch = statement.branch();
            for (int i = 0; i < branch.test().size(); i++) {
                if (ScriptValues.isTruthy(eval(branch.test(i), scope))) {
                    return run(branch.suite(i), scope);
                }
            }
            return branch.otherwise() == null
                    ? Completion.NORMAL
                    : run(branch.otherwise().suite(), scope);
        } else if (statement.loop() != null) {
            LoopContext loop = statement.loop();
            for (Object value : operations.elements(positionOf(loop.tests()), eval(loop.tests(), scope))) {
                assign(loop.target(), value, scope);
                Completion end = run(loop.suite(), scope);
                if (end == Completion.RETURN) {
                    return end;
                } else if (end == Completion.BREAK) {
                    break;
                }
            }
            return Completion.NORMAL;
        }
        define(statement.definition(), scope);
        return Completion.NORMAL;
    }

    private Completion run(SuiteContext suite, ScriptScope scope) {
        if (suite.simple() != null) {
            return run(suite.simple(), scope);
        }
        for (StatementContext statement : suite.statement()) {
            Completion end = run(statement, scope);
            if (end != Completion.NORMAL) {
                return end;
            }
        }
        return Completion.NORMAL;
    }

    private Completion run(SimpleContext line, ScriptScope scope) {
        for (SmallContext small : line.small()) {
            meter.countStep(positionOf(small));
            if (small instanceof ReturningContext returning) {
                returnValue = returning.tests() == null ? ScriptValues.NONE : eval(returning.tests(), scope);
                return Completion.RETURN;
            } else if (small instanceof BreakingContext) {
                return Completion.BREAK;
            } else if (small instanceof ContinuingContext) {
                return Completion.CONTINUE;
            } else if (small instanceof AssignmentContext assignment) {
                assign(assignment, scope);
            } else if (small instanceof ExpressionContext expression) {
                eval(expression.tests(), scope);
            }
        }
        return Completion.NORMAL;
    }

    private void define(DefinitionContext code, ScriptScope scope) {
        Map<String, Object> defaults = new HashMap<>();
        Set<String> names = new TreeSet<>();
        for (ParameterContext parameter : code.parameter()) {
            String name = parameter.NAME().getText();
            if (!names.add(name)) {
                throw new ScriptFaultException(positionOf(parameter), "the parameter '" + name + "' is told twice");
            }
            if (parameter.test() != null) {
                defaults.put(name, eval(parameter.test(), scope));
            } else if (!defaults.isEmpty()) {
                throw new ScriptFaultException(
                        positionOf(parameter), "the parameter '" + name + "' needs a default, as one before it");
            }
        }
        bind(code.NAME().getSymbol(), new ScriptFunction(code, scope, defaults), scope);
    }

    private void bind(Token name, Object value, ScriptScope scope) {
        if (globals.enclosing.names.get(name.getText()) instanceof Declaration.DeclarationKind) {
            throw new ScriptFaultException(
                    ScriptFaultException.positionOf(name),
                    "'" + name.getText() + "' is a function of ours and keeps its meaning");
        }
        meter.countElements(ScriptFaultException.positionOf(name), 1);
        scope.names.put(name.getText(), value);
    }

    private void assign(AssignmentContext assignment, ScriptScope scope) {
        Object value = eval(assignment.tests(), scope);
        String op = assignment.op.getText();
        if (!op.equals("=")) {
            TargetContext target = assignment.target();
            if (target.place().size() != 1 || target.place(0).target() != null) {
                throw new ScriptFaultException(positionOf(target), "'" + op + "' takes one name or element");
            }
            PlaceContext place = target.place(0);
            Object before = place.NAME() != null
                    ? resolve(place.NAME().getSymbol(), scope, true)
                    : operations.element(positionOf(place), eval(place.place(), scope), eval(place.test(), scope));
            value = operations.binary(
                    ScriptFaultException.positionOf(assignment.op), op.substring(0, op.length() - 1), before, value);
        }
        assign(assignment.target(), value, scope);
    }

    private void assign(TargetContext target, Object value, ScriptScope scope) {
        boolean several = target.place().size() > 1 || target.getText().endsWith(",");
        if (!several) {
            assign(target.place(0), value, scope);
            return;
        }
        List<Object> values = operations.elements(positionOf(target), value);
        if (values.size() != target.place().size()) {
            throw new ScriptFaultException(
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
            operations.setElement(positionOf(place), eval(place.place(), scope), eval(place.test(), scope), value);
        }
    }

    private Object eval(PlaceContext place, ScriptScope scope) {
        if (place.NAME() != null) {
            return resolve(place.NAME().getSymbol(), scope, false);
        } else if (place.target() != null) {
            throw new ScriptFaultException(positionOf(place), "names in brackets have no elements");
        }
        return operations.element(positionOf(place), eval(place.place(), scope), eval(place.test(), scope));
    }

    // ---- Expressions -------------------------------------------------------------------------------
    private Object resolve(Token name, ScriptScope scope, boolean here) {
        Object found = here ? scope.names.get(name.getText()) : scope.lookUp(name.getText());
        if (found == null) {
            Set<String> known = new TreeSet<>();
            for (ScriptScope at = scope; at != null; at = at.enclosing) {
                known.addAll(at.names.keySet());
            }
            throw new ScriptFaultException(
                    ScriptFaultException.positionOf(name),
                    "unknown name '" + name.getText() + "'" + NameSuggestions.suggest(name.getText(), known));
        }
        return found;
    }

    private Object eval(TestsContext tests, ScriptScope scope) {
        if (tests.test().size() == 1 && tests.comma == null) {
            return eval(tests.test(0), scope);
        }
        return list(positionOf(tests), tests.test(), scope);
    }

    private List<Object> list(ScriptPosition place, List<TestContext> tests, ScriptScope scope) {
        meter.countElements(place, tests.size() + 1L);
        List<Object> list = new ArrayList<>();
        tests.forEach(test -> list.add(eval(test, scope)));
        return list;
    }

    private Object eval(TestContext test, ScriptScope scope) {
        ScriptPosition place = positionOf(test);
        meter.enter(place);
        try {
            if (test instanceof AtomicContext atomic) {
                return eval(atomic.atom(), scope);
            } else if (test instanceof AttributeContext attribute) {
                return attribute(attribute, scope);
            } else if (test instanceof CallContext call) {
                return call(call, scope);
            } else if (test instanceof ElementContext element) {
                return operations.element(place, eval(element.test(0), scope), eval(element.test(1), scope));
            } else if (test instanceof SliceContext slice) {
                return operations.slice(
                        place,
                        eval(slice.test(0), scope),
                        slice.low == null ? null : eval(slice.low, scope),
                        slice.high == null ? null : eval(slice.high, scope));
            } else if (test instanceof SignContext sign) {
                return operations.sign(place, sign.op.getText(), eval(sign.test(), scope));
            } else if (test instanceof ProductContext product) {
                return operations.binary(
                        ScriptFaultException.positionOf(product.op),
                        product.op.getText(),
                        eval(product.test(0), scope),
                        eval(product.test(1), scope));
            } else if (test instanceof SumContext sum) {
                return operations.binary(
                        ScriptFaultException.positionOf(sum.op),
                        sum.op.getText(),
                        eval(sum.test(0), scope),
                        eval(sum.test(1), scope));
            } else if (test instanceof ComparisonContext comparison) {
                boolean not = comparison.getChild(1).getText().equals("not");
                boolean holds = operations.compare(
                        ScriptFaultException.positionOf(comparison.op),
                        comparison.op.getText(),
                        eval(comparison.test(0), scope),
                        eval(comparison.test(1), scope));
                return holds != not;
            } else if (test instanceof NegationContext negation) {
                return !ScriptValues.isTruthy(eval(negation.test(), scope));
            } else if (test instanceof ConjunctionContext both) {
                Object first = eval(both.test(0), scope);
                return ScriptValues.isTruthy(first) ? eval(both.test(1), scope) : first;
            } else if (test instanceof DisjunctionContext either) {
                Object first = eval(either.test(0), scope);
                return ScriptValues.isTruthy(first) ? first : eval(either.test(1), scope);
            }
            ChoiceContext choice = (ChoiceContext) test;
            return eval(choice.test(ScriptValues.isTruthy(eval(choice.test(1), scope)) ? 0 : 2), scope);
        } finally {
            meter.leave();
        }
    }

    private Object eval(AtomContext atom, ScriptScope scope) {
        ScriptPosition place = positionOf(atom);
        if (atom instanceof NameContext name) {
            return resolve(name.NAME().getSymbol(), scope, false);
        } else if (atom instanceof IntegerContext integer) {
            return ScriptOperations.parseInteger(place, integer.getText());
        } else if (atom instanceof DecimalContext decimal) {
            return ScriptOperations.parseDecimal(place, decimal.getText());
        } else if (atom instanceof StringContext string) {
            StringBuilder text = new StringBuilder();
            string.STRING().forEach(part -> text.append(ScriptOperations.unquote(part.getSymbol())));
            meter.countCharacters(place, text.length());
            return text.toString();
        } else if (atom instanceof YesContext || atom instanceof NoContext) {
            return atom instanceof YesContext;
        } else if (atom instanceof NoneContext) {
            return ScriptValues.NONE;
        } else if (atom instanceof GroupContext group) {
            return group.tests() == null ? new ArrayList<>() : eval(group.tests(), scope);
        } else if (atom instanceof ListContext list) {
            return list(place, list.test(), scope);
        } else if (atom instanceof ListOfEachContext list) {
            List<Object> made = new ArrayList<>();
            comprehend(list.clause(), 0, new ScriptScope(scope), inner -> {
                meter.countElements(place, 1);
                made.add(eval(list.test(), inner));
            });
            return made;
        }
        Map<Object, Object> made = new LinkedHashMap<>();
        if (atom instanceof DictContext dict) {
            dict.entry().forEach(entry -> putEntry(made, entry, scope));
        } else {
            DictOfEachContext dict = (DictOfEachContext) atom;
            comprehend(dict.clause(), 0, new ScriptScope(scope), inner -> putEntry(made, dict.entry(), inner));
        }
        return made;
    }

    private void putEntry(Map<Object, Object> made, EntryContext entry, ScriptScope scope) {
        operations.setElement(positionOf(entry), made, eval(entry.test(0), scope), eval(entry.test(1), scope));
    }

    private void comprehend(List<ClauseContext> clauses, int at, ScriptScope scope, Consumer<ScriptScope> element) {
        if (at == clauses.size()) {
            element.accept(scope);
        } else if (clauses.get(at) instanceof EachContext each) {
            for (Object value : operations.elements(positionOf(each.test()), eval(each.test(), scope))) {
                meter.countStep(positionOf(each));
                assign(each.target(), value, scope);
                comprehend(clauses, at + 1, scope, element);
            }
        } else if (ScriptValues.isTruthy(eval(((FilterContext) clauses.get(at)).test(), scope))) {
            comprehend(clauses, at + 1, scope, element);
        }
    }

    private Object attribute(AttributeContext attribute, ScriptScope scope) {
        Object value = eval(attribute.test(), scope);
        String name = attribute.NAME().getText();
        List<String> known = ScriptOperations.methods(value);
        if (!known.contains(name)) {
            throw new ScriptFaultException(
                    ScriptFaultException.positionOf(attribute.NAME().getSymbol()),
                    "a " + ScriptValues.typeName(value) + " has no '" + name + "'"
                            + NameSuggestions.suggest(name, known));
        }
        return new BoundMethod(value, name);
    }

    // ---- Calls -------------------------------------------------------------------------------------
    private Object call(CallContext call, ScriptScope scope) {
        Object called = eval(call.test(), scope);
        ScriptPosition place = positionOf(call);
        List<Object> values = new ArrayList<>();
        Map<String, Declaration.DeclaredValue> named = new LinkedHashMap<>();
        for (ArgumentContext argument : call.argument()) {
            Object value = eval(argument.test(), scope);
            if (argument.NAME() == null) {
                if (!named.isEmpty()) {
                    throw new ScriptFaultException(
                            positionOf(argument), "a value without a name behind one with a name");
                }
                values.add(value);
            } else if (named.put(argument.NAME().getText(), new Declaration.DeclaredValue(value, positionOf(argument)))
                    != null) {
                throw new ScriptFaultException(
                        positionOf(argument), "'" + argument.NAME().getText() + "' is told twice");
            }
        }
        if (called instanceof Declaration.DeclarationKind kind) {
            return declare(kind, place, values, named);
        } else if (called instanceof ScriptFunction defined) {
            return call(defined, place, values, named);
        } else if (called instanceof BoundMethod bound) {
            rejectNamedArguments(bound.name, named);
            return operations.callMethod(place, bound.value, bound.name, values);
        } else if (called instanceof ScriptOperations.BuiltinFunction builtin) {
            rejectNamedArguments(builtin.name(), named);
            return operations.callBuiltin(place, builtin, values);
        }
        throw new ScriptFaultException(place, "a " + ScriptValues.typeName(called) + " cannot be called");
    }

    private static void rejectNamedArguments(String function, Map<String, Declaration.DeclaredValue> named) {
        named.forEach((name, told) -> {
            throw new ScriptFaultException(told.position(), function + " takes no '" + name + "'");
        });
    }

    private Declaration declare(
            Declaration.DeclarationKind kind,
            ScriptPosition place,
            List<Object> values,
            Map<String, Declaration.DeclaredValue> named) {
        if (!values.isEmpty()) {
            throw new ScriptFaultException(
                    place,
                    kind.name() + " takes its values by name, as in "
                            + kind.keys().get(0) + " = ...");
        }
        named.forEach((name, told) -> {
            if (!kind.keys().contains(name)) {
                throw new ScriptFaultException(
                        told.position(),
                        kind.name() + " has no key '" + name + "'" + NameSuggestions.suggest(name, kind.keys()));
            }
        });
        meter.countElements(place, named.size() + 1L);
        Declaration made = new Declaration(kind.name(), place, named);
        if (kind.topLevel()) {
            declarations.add(made);
        }
        return made;
    }

    private Object call(
            ScriptFunction defined,
            ScriptPosition place,
            List<Object> values,
            Map<String, Declaration.DeclaredValue> named) {
        if (callStack.contains(defined.code)) {
            throw new ScriptFaultException(place, "'" + defined.name() + "' calls itself: recursion is not allowed");
        }
        ScriptScope scope = new ScriptScope(defined.scope);
        List<ParameterContext> parameters = defined.code.parameter();
        if (values.size() > parameters.size()) {
            throw new ScriptFaultException(
                    place, "'" + defined.name() + "' takes " + parameters.size() + " values, not " + values.size());
        }
        Map<String, Object> given = new HashMap<>(defined.defaults);
        List<String> names =
                parameters.stream().map(parameter -> parameter.NAME().getText()).toList();
        for (int i = 0; i < values.size(); i++) {
            given.put(names.get(i), values.get(i));
        }
        named.forEach((name, told) -> {
            int at = names.indexOf(name);
            if (at < 0 || at < values.size()) {
                throw new ScriptFaultException(
                        told.position(),
                        "'" + defined.name() + "' "
                                + (at < 0
                                        ? "has no parameter '" + name + "'" + NameSuggestions.suggest(name, names)
                                        : "is told '" + name + "' twice"));
            }
            given.put(name, told.value());
        });
        for (ParameterContext parameter : parameters) {
            Object value = given.get(parameter.NAME().getText());
            if (value == null) {
                throw new ScriptFaultException(
                        place,
                        "'" + defined.name() + "' needs '" + parameter.NAME().getText() + "'");
            }
            bind(parameter.NAME().getSymbol(), value, scope);
        }
        meter.enter(place);
        callStack.push(defined.code);
        try {
            Completion end = run(defined.code.suite(), scope);
            return end == Completion.RETURN ? returnValue : ScriptValues.NONE;
        } finally {
            callStack.pop();
            meter.leave();
        }
    }
}
