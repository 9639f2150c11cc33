package reedmux.gatekeeper.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reedmux.gatekeeper.settings.OperatorSettings;

/** Tests the language of settings scripts: values, the positions in error messages, and termination of every script. */
final class ScriptInterpreterTest {
    private static final List<Declaration.DeclarationKind> KINDS =
            List.of(new Declaration.DeclarationKind("rule", true, List.of("value", "other")));

    private static String evaluate(String script) throws ScriptException {
        List<Declaration> declarations = ScriptInterpreter.run("x.star", script, KINDS);
        assertEquals(1, declarations.size(), script);
        Object value = declarations.get(0).keys().get("value").value();
        return ScriptValues.toText(new ScriptMeter(), declarations.get(0).position(), List.of(value));
    }

    private static String errorMessage(String script) {
        return assertThrows(ScriptException.class, () -> ScriptInterpreter.run("x.star", script, KINDS))
                .getMessage();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "1 + 2 * 3|[7]",
                "(1 + 2) * 3|[9]",
                "7 // 2 - 7 % 4|[0]",
                "-7 // 2|[-4]",
                "7 / 2|[3.5]",
                "-7 % 4|[1]",
                "1 if [] else 2|[2]",
                "not 1 == 2 and 3 < 4|[True]",
                "'a' in 'cat'|[True]",
                "3 not in [1, 2]|[True]",
                "0 or 5|[5]",
                "\"a\" 'b' * 2|[\"abab\"]",
                "'%s-%d' % ['x', 3]|[\"x-3\"]",
                "'{}!'.format(1.5)|[\"1.5!\"]",
                "[x * x for x in range(4) if x % 2 == 1]|[[1, 9]]",
                "{k: len(k) for k in ['a', 'bb']}|[{\"a\": 1, " + "\"bb\": 2}]",
                "[a + b for a, b in zip([1, 2], [3, 4])]|[[4, 6]]",
                "sorted([3, 1, 2])[1:]|[[2, 3]]",
                "'a,b'.split(',')[-1]|[\"b\"]",
                "max([1, 5, 3]) + min(4, 2)|[7]",
                "{'a': 1}.get('b', 9)|[9]",
                "0x1F + 1_000|[1031]",
                "[1, [2, 'x']] == [1.0, [2, 'x']]|[True]",
                "','.join([str(i) for i in reversed(range(3))])|[\"2,1,0\"]",
                "type({}.get(1))|[\"NoneType\"]",
                "[p for p in enumerate('ab'.upper().split('B'))]|[[[0, \"A\"], [1, \"\"]]]",
                "1 - 2 - 3|[-4]"
            })
    void evaluatesExpressions(String expression, String expected) throws ScriptException {
        assertEquals(expected, evaluate("rule(value = " + expression + ")"));
    }

    @Test
    void executesFunctionsLoopsAndBranches() throws ScriptException {
        assertEquals("[[\"even\", 1, \"even\", 3]]", evaluate("""
                # a comment
                def name(n, other = "even"):

                    if n % 2 == 0:
                        return other   # a trailing comment
                    elif n < 0: return None
                    else:
                        pass
                    return n

                all = []
                for i in range(9):
                    if i == 4:
                        break
                    all.append(name(n = i))
                rule(
                  value = all,
                )"""));
        assertEquals(
                "[6]",
                evaluate("a, (b, c) = 1, [2, 3]\nd = {}\nd['x'] = [a + b]\nd['x'][0] += "
                        + "c\nrule(value = d['x'][0])"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "rule(valeu = 1)|x.star:1:6: rule has no key 'valeu', did you mean 'value'?",
                "rulle(value = 1)|x.star:1:1: unknown name 'rulle', did you mean 'rule'?",
                "rule(value = 1, value = 2)|x.star:1:17: 'value' is told twice",
                "rule(1)|x.star:1:1: rule takes its values by name, as in value = ...",
                "x = 1 +|x.star:1:8: the end of the line makes no sense here",
                "x = (1, 2|x.star:1:10: the end of the file makes no sense here",
                "while True: pass|x.star:1:1: 'while' is not part of the settings script",
                "import os|x.star:1:1: 'import' is not part of the settings script",
                "x = 'abc|x.star:1:5: a string that does not end on its line",
                "x = 1 ? 2|x.star:1:7: a character that has no place here: '?'",
                "x = 1 // 0|x.star:1:7: division by nought",
                "x = 9223372036854775807 + 1|x.star:1:25: the result of '+' does not fit 64 bits",
                "x = 99999999999999999999|x.star:1:5: not a whole number of 64 bits: 99999999999999999999",
                "x = 'a' + 1|x.star:1:9: '+' between a string and a int",
                "x = [1][2]|x.star:1:5: the index 2 lies outside of 1 elements",
                "x = {'rate': 1}['rat']|x.star:1:5: the dict has no key [\"rat\"], did you mean 'rate'?",
                "x = 'a'.uper()|x.star:1:9: a string has no 'uper', did you mean 'upper'?",
                "rule = 3|x.star:1:1: 'rule' is a function of ours and keeps its meaning",
                "a, b = [1]|x.star:1:1: 2 names for 1 values",
                "return 1|x.star:1:1: 'return' outside of a function",
                "x = 1(2)|x.star:1:5: a int cannot be called",
                "x = {[1]: 2}|x.star:1:6: a list cannot be the key of a dict",
                "fail('no', 3)|x.star:1:1: no 3",
                "x = '\\q'|x.star:1:5: unknown escape '\\q' in a string",
                "x = 1e999|x.star:1:5: the number is too large: 1e999"
            })
    void errorsReportPositionAndCause(String script, String expected) {
        assertEquals(expected, errorMessage(script));
    }

    @Test
    void errorsOnLaterLinesReportTheirPosition() {
        assertEquals("x.star:3:3: the indent fits no line above", errorMessage("if 1:\n    x = 1\n  y = 2"));
        assertEquals("x.star:2:1: a tab: indents and gaps are made of spaces", errorMessage("if 1:\n\tx = 1"));
        assertTrue(errorMessage("x = 1\n  y = 2").startsWith("x.star:2:3: an indent"), errorMessage("x = 1\n  y = 2"));
        assertEquals(
                "x.star:2:12: 'f' calls itself: recursion is not allowed",
                errorMessage("def f(n):\n    return f(n - 1)\nx = f(3)"));
        assertEquals(
                "x.star:4:12: 'f' calls itself: recursion is not allowed",
                errorMessage("def f(g):\n    return g(f)\ndef h(g):\n    return g(h)\nx = f(h)"));
    }

    /** Without the limits on steps and memory, each of these scripts would run endlessly or exhaust the memory. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "x = [i for i in range(9223372036854775807)]",
                "x = 'a' * 9000000000",
                "x = [0] * 9000000000",
                "x = 'a'\nfor i in range(99):\n    x = x + x",
                "x = ['a']\nfor i in range(99):\n    x = [x, x]\ny = " + "str(x)",
                "x = [1]\nfor i in range(99):\n    x = [x, x]\ny = x == [x[0], x[1]] and x == [list(x[0]), x[1]]",
                "x = []\nx.append(x)\ny = str(x)",
                "x = []\nfor i in range(99999):\n    x.extend(range(9999))",
                "x = [1 for a in range(9999) for b in range(9999)]",
                "x = 'ab'.replace('a', 'x' * 1000000).replace('x', 'y' * 1000000)",
                "x = 0\nfor a in range(9999):\n    for b in range(9999):\n        x += 1"
            })
    void everyScriptTerminates(String script) {
        String message = errorMessage(script);
        assertTrue(
                message.matches("x.star:\\d+:\\d+: (the script takes more than .*|the script is nested .*)"), message);
    }

    @Test
    void deepNestingIsRejected() {
        for (String nestedExpression : List.of(
                "(".repeat(9_000) + "1" + ")".repeat(9_000),
                "[".repeat(60) + "]".repeat(60),
                "not ".repeat(9_000) + "1",
                "-".repeat(9_000) + "1",
                "1" + " + 1".repeat(9_000),
                "x".repeat(1) + ".y".repeat(9_000),
                "1 if 1 else ".repeat(9_000) + "1",
                "1" + " * 1".repeat(9_000))) {
            assertTrue(
                    errorMessage("x = 1\ny = " + nestedExpression).startsWith("x.star:"),
                    nestedExpression.substring(0, 9));
        }
        StringBuilder nestedBlocks = new StringBuilder();
        for (int i = 0; i < 500; i++) {
            nestedBlocks.append(" ".repeat(i)).append("if 1:\n");
        }
        assertEquals(
                "x.star:22:22: indented more than 20 times", errorMessage(nestedBlocks + " ".repeat(500) + "x = 1\n"));
    }

    @Test
    void oversizedScriptIsRejectedBeforeParsing(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("huge.star");
        Files.writeString(file, "x = 1\n".repeat(10_000_000 / 6));
        assertTrue(assertThrows(ScriptException.class, () -> OperatorSettings.read(file))
                .getMessage()
                .endsWith("huge.star:1:1: the file is longer than 1048576 bytes: 9999996"));
        assertTrue(errorMessage(" ".repeat(300_000)).startsWith("x.star:1:1: the script is longer than 262144"));
    }

    /** Arbitrary text is either a valid script or rejected with the position of the error; nothing else is thrown. */
    @Property(tries = 2_000, seed = "11")
    void arbitraryTextIsValidOrRejectedWithPosition(
            @ForAll
                    @Chars({
                        'a', 'x', '1', '0', '.', ' ', '\n', '(', ')', '[', ']', '{', '}', ':', ',', '=', '+', '-', '\'',
                        '"', '\\', '#', '\t'
                    })
                    @AlphaChars
                    @StringLength(max = 60)
                    String script) {
        try {
            ScriptInterpreter.run("x.star", script, KINDS);
        } catch (ScriptException e) {
            assertTrue(
                    e.getMessage()
                            .startsWith("x.star:" + e.position().line() + ':'
                                    + e.position().column()),
                    script);
        }
    }

    /** A valid script that is truncated at any position is either valid or rejected with the position of the error. */
    @Property(tries = 500, seed = "12")
    void truncatedScriptIsValidOrRejectedWithPosition(@ForAll @IntRange(max = 600) int length) throws Exception {
        String completeScript = Files.readString(Path.of("deploy/east.star"));
        try {
            OperatorSettings.parse("x.star", completeScript.substring(0, Math.min(length, completeScript.length())));
        } catch (ScriptException e) {
            assertTrue(e.getMessage().startsWith("x.star:"), e.getMessage());
        }
    }

    @Example
    void evaluationIsDeterministic() throws ScriptException {
        String script = "rule(value = [str({'b': i, 'a': [i]}) for i in range(50)])";
        assertEquals(evaluate(script), evaluate(script));
    }
}
