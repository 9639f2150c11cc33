package reedmux.gatekeeper.script;

import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptParser.FileContext;

/** Parses scripts with the ANTLR-generated parser. Parsing stops at the first syntax error. */
final class ScriptSyntax {

    /** Throws an exception for the first error that the lexer or the parser reports. */
    private static final class FailingErrorListener extends BaseErrorListener {
        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException e) {
            String found = symbol instanceof Token token ? describe(token) : "a character";
            throw new UncheckedScriptException(new ScriptPosition(line, column + 1), found + " makes no sense here", e);
        }

        private static String describe(Token token) {
            return switch (token.getType()) {
                case Token.EOF -> "the end of the file";
                case ScriptParser.NEWLINE -> "the end of the line";
                case ScriptParser.INDENT -> "an indent";
                case ScriptParser.DEDENT -> "the end of an indent";
                default -> "'" + token.getText() + "'";
            };
        }
    }

    private ScriptSyntax() {}

    static FileContext parse(String script) {
        FailingErrorListener listener = new FailingErrorListener();
        ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(script));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        ScriptParser parser = new ScriptParser(new CommonTokenStream(new IndentationTokenSource(lexer)));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        return parser.file();
    }

    /** Returns the position at which a node of the syntax tree starts. */
    static ScriptPosition positionOf(ParserRuleContext context) {
        return UncheckedScriptException.positionOf(context.start);
    }
}
