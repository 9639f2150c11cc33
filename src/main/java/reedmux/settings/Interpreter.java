package reedmux.settings;

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
import reedmux.settings.ScriptException.Place;
import reedmux.settings.ScriptParser.*;

/**
 * Runs a settings script from top to bottom and gathers what it declares. It always ends: no loop without a
 * list, no recursion, and a {@link Meter} over all.
 */
final class Interpreter {
    /** Longest script, in characters; a generated one of 10 MB is refused before it is looked at. */
    static final int LONGEST = 256 * 1024;

    /** How a suite ended. */
    private enum End {
        THROUGH,
        BREAK,
        CONTINUE,
        RETURN
    }

    /** Names and their values; what is not found here is looked for outside. */
    private static final class Scope {
        final Scope outside;
        final Map<String, Object> names = new HashMap<>();

        Scope(Scope outside) {
            this.outside = outside;
        }

        Object find(String name) {
            Object found = names.get(name);
            return found != null || outside == null ? found : outside.find(name);
        }
    }

    /** A function that the script defines. */
    private record Defined(DefinitionContext code, Scope scope, Map<String, Object> defaults)
            implements Values.Function {
        @Override
        public String name() {
            return code.NAME().getText();
        }
    }

    /** A value's own function, such as {@code list.append}. */
    private record Bound(Object value, String name) implements Values.Function {}

    private final Meter meter = new Meter();
    private final Operations operations = new Operations(meter);
    private final Scope globals;
    private final List<Declaration> declared = new ArrayList<>();
    private final Deque<DefinitionContext> running = new ArrayDeque<>();
    private Object returned;

    private Interpreter(List<Declaration.Kind> kinds) {
        Scope builtins = new Scope(null);
        Operations.BUILTINS.forEach(builtin -> builtins.names.put(builtin.name(), builtin));
        kinds.forEach(kind -> builtins.names.put(kind.name(), kind));
        globals = new Scope(builtins);
    }

    /**
     * Runs a script.
     *
     * @param file the name under which errors tell of it
     * @return what it declares, in order
     * @throws ScriptException with the place and the name at fault
     */
    static List<Declaration> run(String file, String script, List<Declaration.Kind> kinds) throws ScriptException {
        if (script.length() > LONGEST) {
            throw new ScriptException(
                    file, new Place(1, 1), "the script is longer than " + LONGEST + " characters: " + script.length());
        }
        Interpreter interpreter = new Interpreter(kinds);
        try {
            for (StatementContext statement : parse(script).statement()) {
                End end = interpreter.run(statement, interpreter.globals);
                if (end != End.THROUGH) {
                    throw new Fault(
                            Fault.at(statement.start),
                            "'" + end.name().toLowerCase(Locale.ROOT) + "' outside of "
                                    + (end == End.RETURN ? "a function" : "a loop"));
                }
            }
            return interpreter.declared;
        } catch (Fault e) {
            throw new ScriptException(file, e.place(), e.getMessage());
        } catch (StackOverflowError e) {
            throw new ScriptException(file, new Place(1, 1), "the script is nested too deeply");
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
                throw new Fault(new Place(line, column + 1), found + " makes no sense here");
            }
        };
        ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(script));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        ScriptParser parser = new ScriptParser(new CommonTokenStream(new Layout(lexer)));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        return parser.file();
    }

    private static Place at(ParserRuleContext context) {
        return Fault.at(context.start);
    }

    // ---- Statements --------------------------------------------------------------------------------
    private End run(StatementContext statement, Scope scope) {
        if (statement.simple() != null) {
            return run(statement.simple(), scope);
        } else if (statement.branch() != null) {
            BranchContext branch = statement.branch();
            for (int i = 0; i < branch.test().size(); i++) {
                if (Values.truth(eval(branch.test(i), scope))) {
                    return run(branch.suite(i), scope);
                }
            }
            return branch.otherwise() == null
                    ? End.THROUGH
                    : run(branch.otherwise().suite(), scope);
        } else if (statement.loop() != null) {
            LoopContext loop = statement.loop();
            for (Object value : operations.each(at(loop.tests()), eval(loop.tests(), scope))) {
                assign(loop.target(), value, scope);
                End end = run(loop.suite(), scope);
                if (end == End.RETURN) {
                    return end;
                } else if (end == End.BREAK) {
                    break;
                }
            }
            return End.THROUGH;
        }
        define(statement.definition(), scope);
        return End.THROUGH;
    }

    private End run(SuiteContext suite, Scope scope) {
        if (suite.simple() != null) {
            return run(suite.simple(), scope);
        }
        for (StatementContext statement : suite.statement()) {
            End end = run(statement, scope);
            if (end != End.THROUGH) {
                return end;
            }
        }
        return End.THROUGH;
    }

    private End run(SimpleContext line, Scope scope) {
        for (SmallContext small : line.small()) {
            meter.step(at(small));
            if (small instanceof ReturningContext returning) {
                returned = returning.tests() == null ? Values.NONE : eval(returning.tests(), scope);
                return End.RETURN;
            } else if (small instanceof BreakingContext) {
                return End.BREAK;
            } else if (small instanceof ContinuingContext) {
                return End.CONTINUE;
            } else if (small instanceof AssignmentContext assignment) {
                assign(assignment, scope);
            } else if (small instanceof ExpressionContext expression) {
                eval(expression.tests(), scope);
            }
        }
        return End.THROUGH;
    }

    private void define(DefinitionContext code, Scope scope) {
        Map<String, Object> defaults = new HashMap<>();
        Set<String> names = new TreeSet<>();
        for (ParameterContext parameter : code.parameter()) {
            String name = parameter.NAME().getText();
            if (!names.add(name)) {
                throw new Fault(at(parameter), "the parameter '" + name + "' is told twice");
            }
            if (parameter.test() != null) {
                defaults.put(name, eval(parameter.test(), scope));
            } else if (!defaults.isEmpty()) {
                throw new Fault(at(parameter), "the parameter '" + name + "' needs a default, as one before it");
            }
        }
        bind(code.NAME().getSymbol(), new Defined(code, scope, defaults), scope);
    }

    private void bind(Token name, Object value, Scope scope) {
        if (globals.outside.names.get(name.getText()) instanceof Declaration.Kind) {
            throw new Fault(Fault.at(name), "'" + name.getText() + "' is a function of ours and keeps its meaning");
        }
        meter.elements(Fault.at(name), 1);
        scope.names.put(name.getText(), value);
    }

    private void assign(AssignmentContext assignment, Scope scope) {
        Object value = eval(assignment.tests(), scope);
        String op = assignment.op.getText();
        if (!op.equals("=")) {
            TargetContext target = assignment.target();
            if (target.place().size() != 1 || target.place(0).target() != null) {
                throw new Fault(at(target), "'" + op + "' takes one name or element");
            }
            PlaceContext place = target.place(0);
            Object before = place.NAME() != null
                    ? found(place.NAME().getSymbol(), scope, true)
                    : operations.element(at(place), eval(place.place(), scope), eval(place.test(), scope));
            value = operations.binary(Fault.at(assignment.op), op.substring(0, op.length() - 1), before, value);
        }
        assign(assignment.target(), value, scope);
    }

    private void assign(TargetContext target, Object value, Scope scope) {
        boolean several = target.place().size() > 1 || target.getText().endsWith(",");
        if (!several) {
            assign(target.place(0), value, scope);
            return;
        }
        List<Object> values = operations.each(at(target), value);
        if (values.size() != target.place().size()) {
            throw new Fault(at(target), target.place().size() + " names for " + values.size() + " values");
        }
        for (int i = 0; i < values.size(); i++) {
            assign(target.place(i), values.get(i), scope);
        }
    }

    private void assign(PlaceContext place, Object value, Scope scope) {
        if (place.NAME() != null) {
            bind(place.NAME().getSymbol(), value, scope);
        } else if (place.target() != null) {
            assign(place.target(), value, scope);
        } else {
            operations.put(at(place), eval(place.place(), scope), eval(place.test(), scope), value);
        }
    }

    private Object eval(PlaceContext place, Scope scope) {
        if (place.NAME() != null) {
            return found(place.NAME().getSymbol(), scope, false);
        } else if (place.target() != null) {
            throw new Fault(at(place), "names in brackets have no elements");
        }
        return operations.element(at(place), eval(place.place(), scope), eval(place.test(), scope));
    }

    // ---- Expressions -------------------------------------------------------------------------------
    private Object found(Token name, Scope scope, boolean here) {
        Object found = here ? scope.names.get(name.getText()) : scope.find(name.getText());
        if (found == null) {
            Set<String> known = new TreeSet<>();
            for (Scope at = scope; at != null; at = at.outside) {
                known.addAll(at.names.keySet());
            }
            throw new Fault(
                    Fault.at(name), "unknown name '" + name.getText() + "'" + Names.hint(name.getText(), known));
        }
        return found;
    }

    private Object eval(TestsContext tests, Scope scope) {
        if (tests.test().size() == 1 && tests.comma == null) {
            return eval(tests.test(0), scope);
        }
        return list(at(tests), tests.test(), scope);
    }

    private List<Object> list(Place place, List<TestContext> tests, Scope scope) {
        meter.elements(place, tests.size() + 1L);
        List<Object> list = new ArrayList<>();
        tests.forEach(test -> list.add(eval(test, scope)));
        return list;
    }

    private Object eval(TestContext test, Scope scope) {
        Place place = at(test);
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
                        Fault.at(product.op),
                        product.op.getText(),
                        eval(product.test(0), scope),
                        eval(product.test(1), scope));
            } else if (test instanceof SumContext sum) {
                return operations.binary(
                        Fault.at(sum.op), sum.op.getText(), eval(sum.test(0), scope), eval(sum.test(1), scope));
            } else if (test instanceof ComparisonContext comparison) {
                boolean not = comparison.getChild(1).getText().equals("not");
                boolean holds = operations.compare(
                        Fault.at(comparison.op),
                        comparison.op.getText(),
                        eval(comparison.test(0), scope),
                        eval(comparison.test(1), scope));
                return holds != not;
            } else if (test instanceof NegationContext negation) {
                return !Values.truth(eval(negation.test(), scope));
            } else if (test instanceof ConjunctionContext both) {
                Object first = eval(both.test(0), scope);
                return Values.truth(first) ? eval(both.test(1), scope) : first;
            } else if (test instanceof DisjunctionContext either) {
                Object first = eval(either.test(0), scope);
                return Values.truth(first) ? first : eval(either.test(1), scope);
            }
            ChoiceContext choice = (ChoiceContext) test;
            return eval(choice.test(Values.truth(eval(choice.test(1), scope)) ? 0 : 2), scope);
        } finally {
            meter.leave();
        }
    }

    private Object eval(AtomContext atom, Scope scope) {
        Place place = at(atom);
        if (atom instanceof NameContext name) {
            return found(name.NAME().getSymbol(), scope, false);
        } else if (atom instanceof IntegerContext integer) {
            return Operations.whole(place, integer.getText());
        } else if (atom instanceof DecimalContext decimal) {
            return Operations.decimal(place, decimal.getText());
        } else if (atom instanceof StringContext string) {
            StringBuilder text = new StringBuilder();
            string.STRING().forEach(part -> text.append(Operations.unquoted(part.getSymbol())));
            meter.characters(place, text.length());
            return text.toString();
        } else if (atom instanceof YesContext || atom instanceof NoContext) {
            return atom instanceof YesContext;
        } else if (atom instanceof NoneContext) {
            return Values.NONE;
        } else if (atom instanceof GroupContext group) {
            return group.tests() == null ? new ArrayList<>() : eval(group.tests(), scope);
        } else if (atom instanceof ListContext list) {
            return list(place, list.test(), scope);
        } else if (atom instanceof ListOfEachContext list) {
            List<Object> made = new ArrayList<>();
            comprehend(list.clause(), 0, new Scope(scope), inner -> {
                meter.elements(place, 1);
                made.add(eval(list.test(), inner));
            });
            return made;
        }
        Map<Object, Object> made = new LinkedHashMap<>();
        if (atom instanceof DictContext dict) {
            dict.entry().forEach(entry -> enter(made, entry, scope));
        } else {
            DictOfEachContext dict = (DictOfEachContext) atom;
            comprehend(dict.clause(), 0, new Scope(scope), inner -> enter(made, dict.entry(), inner));
        }
        return made;
    }

    private void enter(Map<Object, Object> made, EntryContext entry, Scope scope) {
        operations.put(at(entry), made, eval(entry.test(0), scope), eval(entry.test(1), scope));
    }

    private void comprehend(List<ClauseContext> clauses, int at, Scope scope, Consumer<Scope> element) {
        if (at == clauses.size()) {
            element.accept(scope);
        } else if (clauses.get(at) instanceof EachContext each) {
            for (Object value : operations.each(at(each.test()), eval(each.test(), scope))) {
                meter.step(at(each));
                assign(each.target(), value, scope);
                comprehend(clauses, at + 1, scope, element);
            }
        } else if (Values.truth(eval(((FilterContext) clauses.get(at)).test(), scope))) {
            comprehend(clauses, at + 1, scope, element);
        }
    }

    private Object attribute(AttributeContext attribute, Scope scope) {
        Object value = eval(attribute.test(), scope);
        String name = attribute.NAME().getText();
        List<String> known = Operations.methods(value);
        if (!known.contains(name)) {
            throw new Fault(
                    Fault.at(attribute.NAME().getSymbol()),
                    "a " + Values.type(value) + " has no '" + name + "'" + Names.hint(name, known));
        }
        return new Bound(value, name);
    }

    // ---- Calls -------------------------------------------------------------------------------------
    private Object call(CallContext call, Scope scope) {
        Object called = eval(call.test(), scope);
        Place place = at(call);
        List<Object> values = new ArrayList<>();
        Map<String, Declaration.Told> named = new LinkedHashMap<>();
        for (ArgumentContext argument : call.argument()) {
            Object value = eval(argument.test(), scope);
            if (argument.NAME() == null) {
                if (!named.isEmpty()) {
                    throw new Fault(at(argument), "a value without a name behind one with a name");
                }
                values.add(value);
            } else if (named.put(argument.NAME().getText(), new Declaration.Told(value, at(argument))) != null) {
                throw new Fault(at(argument), "'" + argument.NAME().getText() + "' is told twice");
            }
        }
        if (called instanceof Declaration.Kind kind) {
            return declare(kind, place, values, named);
        } else if (called instanceof Defined defined) {
            return call(defined, place, values, named);
        } else if (called instanceof Bound bound) {
            noNames(bound.name, named);
            return operations.method(place, bound.value, bound.name, values);
        } else if (called instanceof Operations.Builtin builtin) {
            noNames(builtin.name(), named);
            return operations.builtin(place, builtin, values);
        }
        throw new Fault(place, "a " + Values.type(called) + " cannot be called");
    }

    private static void noNames(String function, Map<String, Declaration.Told> named) {
        named.forEach((name, told) -> {
            throw new Fault(told.place(), function + " takes no '" + name + "'");
        });
    }

    private Declaration declare(
            Declaration.Kind kind, Place place, List<Object> values, Map<String, Declaration.Told> named) {
        if (!values.isEmpty()) {
            throw new Fault(
                    place,
                    kind.name() + " takes its values by name, as in "
                            + kind.keys().get(0) + " = ...");
        }
        named.forEach((name, told) -> {
            if (!kind.keys().contains(name)) {
                throw new Fault(
                        told.place(), kind.name() + " has no key '" + name + "'" + Names.hint(name, kind.keys()));
            }
        });
        meter.elements(place, named.size() + 1L);
        Declaration made = new Declaration(kind.name(), place, named);
        if (kind.whole()) {
            declared.add(made);
        }
        return made;
    }

    private Object call(Defined defined, Place place, List<Object> values, Map<String, Declaration.Told> named) {
        if (running.contains(defined.code)) {
            throw new Fault(place, "'" + defined.name() + "' calls itself: recursion is not allowed");
        }
        Scope scope = new Scope(defined.scope);
        List<ParameterContext> parameters = defined.code.parameter();
        if (values.size() > parameters.size()) {
            throw new Fault(
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
                throw new Fault(
                        told.place(),
                        "'" + defined.name() + "' "
                                + (at < 0
                                        ? "has no parameter '" + name + "'" + Names.hint(name, names)
                                        : "is told '" + name + "' twice"));
            }
            given.put(name, told.value());
        });
        for (ParameterContext parameter : parameters) {
            Object value = given.get(parameter.NAME().getText());
            if (value == null) {
                throw new Fault(
                        place,
                        "'" + defined.name() + "' needs '" + parameter.NAME().getText() + "'");
            }
            bind(parameter.NAME().getSymbol(), value, scope);
        }
        meter.enter(place);
        running.push(defined.code);
        try {
            End end = run(defined.code.suite(), scope);
            return end == End.RETURN ? returned : Values.NONE;
        } finally {
            running.pop();
            meter.leave();
        }
    }
}
