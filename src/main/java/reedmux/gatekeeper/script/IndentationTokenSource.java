package reedmux.gatekeeper.script;

import java.util.ArrayDeque;
import java.util.Deque;
import org.antlr.v4.runtime.CharStream;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.CommonTokenFactory;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.TokenFactory;
import org.antlr.v4.runtime.TokenSource;

/**
 * A token source between lexer and parser that inserts {@code INDENT} and {@code DEDENT} tokens where the indentation
 * of lines changes, as in Python. It omits the line breaks inside brackets, of blank lines and of lines with only a
 * comment. It limits the nesting depth of brackets and indents and the number of prefix operators, since the generated
 * parser recurses for each of them.
 */
final class IndentationTokenSource implements TokenSource {
    private static final int MAX_BRACKET_DEPTH = 50;
    private static final int MAX_INDENT_DEPTH = 20;
    private static final int MAX_PREFIX_OPERATORS = 50;

    private final ScriptLexer lexer;
    private final Deque<Token> pendingTokens = new ArrayDeque<>();
    private final Deque<Integer> indents = new ArrayDeque<>();
    private int bracketDepth;
    private int prefixOperators;
    private boolean atLineStart = true;
    private boolean lineHasTokens;

    IndentationTokenSource(ScriptLexer lexer) {
        this.lexer = lexer;
        indents.push(0);
    }

    @Override
    public Token nextToken() {
        while (pendingTokens.isEmpty()) {
            processToken(lexer.nextToken());
        }
        return pendingTokens.poll();
    }

    private void processToken(Token token) {
        switch (token.getType()) {
            case Token.EOF -> endOfFile(token);
            case ScriptParser.NEWLINE -> endOfLine(token);
            case ScriptParser.STRAY -> throw strayCharacter(token);
            case ScriptParser.UNSUPPORTED ->
                throw new UncheckedScriptException(
                        UncheckedScriptException.positionOf(token),
                        "'" + token.getText() + "' is not part of the settings script");
            default -> {
                if (atLineStart) {
                    atLineStart = false;
                    prefixOperators = 0;
                    emitIndentation(token);
                }
                lineHasTokens = true;
                trackNesting(token);
                pendingTokens.add(token);
            }
        }
    }

    private void endOfFile(Token token) {
        if (lineHasTokens && bracketDepth == 0) {
            pendingTokens.add(synthesize(token, ScriptParser.NEWLINE, "the end"));
        }
        while (indents.peek() > 0) {
            pendingTokens.add(synthesize(token, ScriptParser.DEDENT, "the end"));
            indents.pop();
        }
        pendingTokens.add(token);
    }

    private void endOfLine(Token token) {
        if (bracketDepth > 0) {
            return;
        }
        if (lineHasTokens) {
            pendingTokens.add(token);
        }
        atLineStart = true;
        lineHasTokens = false;
    }

    private static UncheckedScriptException strayCharacter(Token token) {
        String text = token.getText();
        String problem =
                switch (text) {
                    case "\t" -> "a tab: indents and gaps are made of spaces";
                    case "\"", "'" -> "a string that does not end on its line";
                    default -> "a character that has no place here: '" + text + "'";
                };
        return new UncheckedScriptException(UncheckedScriptException.positionOf(token), problem);
    }

    private void emitIndentation(Token token) {
        int column = token.getCharPositionInLine();
        if (column > indents.peek()) {
            if (indents.size() > MAX_INDENT_DEPTH) {
                throw new UncheckedScriptException(
                        UncheckedScriptException.positionOf(token),
                        "indented more than " + MAX_INDENT_DEPTH + " times");
            }
            indents.push(column);
            pendingTokens.add(synthesize(token, ScriptParser.INDENT, "an indent"));
        }
        while (column < indents.peek()) {
            indents.pop();
            pendingTokens.add(synthesize(token, ScriptParser.DEDENT, "the end of an indent"));
        }
        if (column != indents.peek()) {
            throw new UncheckedScriptException(
                    UncheckedScriptException.positionOf(token), "the indent fits no line above");
        }
    }

    private void trackNesting(Token token) {
        switch (token.getText()) {
            case "(", "[", "{" -> {
                bracketDepth++;
                if (bracketDepth > MAX_BRACKET_DEPTH) {
                    throw new UncheckedScriptException(
                            UncheckedScriptException.positionOf(token),
                            "more than " + MAX_BRACKET_DEPTH + " nested brackets");
                }
            }
            case ")", "]", "}" -> bracketDepth = Math.max(0, bracketDepth - 1);
            default -> {}
        }
        // The parser also recurses without brackets: for signs, 'not' and the 'else' part of a conditional expression.
        prefixOperators = switch (token.getText()) {
            case "-", "+", "not", "else" -> prefixOperators + 1;
            case "=", ":", "," -> 0;
            default -> prefixOperators;
        };
        if (prefixOperators > MAX_PREFIX_OPERATORS) {
            throw new UncheckedScriptException(
                    UncheckedScriptException.positionOf(token),
                    "more than " + MAX_PREFIX_OPERATORS + " operators in one expression");
        }
    }

    private static Token synthesize(Token positionToken, int type, String text) {
        CommonToken token = new CommonToken(positionToken);
        token.setType(type);
        token.setText(text);
        token.setChannel(Token.DEFAULT_CHANNEL);
        return token;
    }

    @Override
    public int getLine() {
        return lexer.getLine();
    }

    @Override
    public int getCharPositionInLine() {
        return lexer.getCharPositionInLine();
    }

    @Override
    public CharStream getInputStream() {
        return lexer.getInputStream();
    }

    @Override
    public String getSourceName() {
        return lexer.getSourceName();
    }

    @Override
    public void setTokenFactory(TokenFactory<?> factory) {
        lexer.setTokenFactory(factory);
    }

    @Override
    public TokenFactory<?> getTokenFactory() {
        return CommonTokenFactory.DEFAULT;
    }
}
