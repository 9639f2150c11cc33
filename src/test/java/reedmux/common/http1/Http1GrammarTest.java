package reedmux.common.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares {@link Http1Grammar} with an independent implementation of the RFC grammar as regular expressions. */
final class Http1GrammarTest {
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String QUOTED_STRING =
            "\"(?:[\\t \\x21\\x23-\\x5B\\x5D-\\x7E\\x80-\\xFF]" + "|\\\\[\\t \\x21-\\x7E\\x80-\\xFF])*\"";
    private static final Pattern REQUEST_LINE = Pattern.compile(TOKEN + " [\\x21-\\x7E]+ HTTP/[0-9]\\.[0-9]");
    private static final Pattern FIELD_LINE = Pattern.compile(TOKEN + ":[\\t \\x21-\\x7E\\x80-\\xFF]*");
    private static final Pattern CHUNK_LINE = Pattern.compile("[0-9A-Fa-f]{1,8}(?:[ \\t]*;[ \\t]*" + TOKEN
            + "(?:[ \\t]*=[ \\t]*(?:" + TOKEN + "|" + QUOTED_STRING + "))?)*");

    private static void assertSameVerdict(Pattern grammar, String line, String problem) {
        assertEquals(
                grammar.matcher(line).matches(), problem == null, () -> '<' + line + ">, reported problem: " + problem);
    }

    @Property(tries = 20_000, seed = "51")
    void requestLinesMatchGrammar(
            @ForAll
                    @Chars({'G', 'e', ' ', '/', 'H', 'T', 'P', '1', '.', '\t', '\r', '\0', '?', '\u00e9', '(', ':'})
                    @StringLength(max = 16)
                    String line) {
        assertSameVerdict(REQUEST_LINE, line, Http1Grammar.checkRequestLine(line));
        assertSameVerdict(
                REQUEST_LINE,
                "GET /" + line + " HTTP/1.1",
                Http1Grammar.checkRequestLine("GET /" + line + " HTTP/1.1"));
        assertSameVerdict(REQUEST_LINE, "GET / HTTP/1." + line, Http1Grammar.checkRequestLine("GET / HTTP/1." + line));
    }

    @Property(tries = 20_000, seed = "52")
    void fieldLinesMatchGrammar(
            @ForAll
                    @Chars({'X', '-', ':', ' ', '\t', '\r', '\0', '\u001b', '\u007f', '\u0080', '\u00ff', '"', ',', '1'
                    })
                    @StringLength(min = 1, max = 12)
                    String line) {
        assertSameVerdict(FIELD_LINE, line, Http1Grammar.checkFieldLine(line));
        assertSameVerdict(FIELD_LINE, "X-A: " + line, Http1Grammar.checkFieldLine("X-A: " + line));
    }

    @Property(tries = 30_000, seed = "53")
    void chunkLinesMatchGrammar(
            @ForAll
                    @Chars({'0', 'a', 'F', ';', '=', '"', '\\', ' ', '\t', 'x', '+', '-', '\r', '\u00e9', ','})
                    @StringLength(max = 14)
                    String line) {
        assertSameVerdict(CHUNK_LINE, line, Http1Grammar.checkChunkLine(line));
        assertSameVerdict(CHUNK_LINE, "1f;a=" + line, Http1Grammar.checkChunkLine("1f;a=" + line));
    }

    @ParameterizedTest
    @ValueSource(strings = {"5", "00000005", "5;a", "5 ; a = b ; c=\"d\\\"e\"", "FFFFFFFF"})
    void acceptsValidChunkLines(String line) {
        assertNull(Http1Grammar.checkChunkLine(line));
        assertEquals(Long.parseLong(line.replaceFirst("[ ;].*", ""), 16), Http1Grammar.parseChunkSize(line));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "+5",
                "-1",
                "0x5",
                "5,5",
                "5 ",
                " 5",
                "5;",
                "5;;a",
                "5;a=",
                "5;a=\"b",
                "5 5",
                "111111111",
                "5\r",
                "5;a=\"\u0001\"",
                "g"
            })
    void rejectsMalformedChunkLines(String line) {
        assertNotNull(Http1Grammar.checkChunkLine(line));
    }
}
