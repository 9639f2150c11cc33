package reedmux.settings;

import java.util.ArrayDeque;
import java.util.Deque;
import org.antlr.v4.runtime.CharStream;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.CommonTokenFactory;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.TokenFactory;
import org.antlr.v4.runtime.TokenSource;

/**
 * Stands between lexer and parser and turns the indents of lines into tokens: nothing counts between
 * brackets, blank lines and comments count nowhere. Bounds how deep brackets, indents and signs may nest,
 * so that the parser's own recursion stays small.
 */
final class Layout implements TokenSource {
    private static final int DEEPEST_BRACKETS = 50;
    private static final int DEEPEST_INDENTS = 20;
    private static final int MOST_SIGNS = 50;

    private final ScriptLexer lexer;
    private final Deque<Token> ready = new ArrayDeque<>();
    private final Deque<Integer> indents = new ArrayDeque<>();
    private int brackets;
    private int signs;
    private boolean lineBegins = true;
    private boolean anyInLine;

    Layout(ScriptLexer lexer) {
        this.lexer = lexer;
        indents.push(0);
    }

    @Override
    public Token nextToken() {
        while (ready.isEmpty()) {
            read(lexer.nextToken());
        }
        return ready.poll();
    }

    private void read(Token token) {
        int type = token.getType();
        if (type == Token.EOF) {
            if (anyInLine && brackets == 0) {
                ready.add(made(token, ScriptParser.NEWLINE, "the end"));
            }
            for (; indents.peek() > 0; indents.pop()) {
                ready.add(made(token, ScriptParser.DEDENT, "the end"));
            }
            ready.add(token);
            return;
        }
        if (type == ScriptParser.NEWLINE) {
            if (brackets == 0) {
                if (anyInLine) {
                    ready.add(token);
                }
                lineBegins = true;
                anyInLine = false;
            }
            return;
        }
        if (type == ScriptParser.STRAY) {
            throw new Fault(
                    Fault.at(token),
                    token.getText().equals("\t")
                            ? "a tab: indents and gaps are made of spaces"
                            : token.getText().matches("[\"']")
                                    ? "a string that does not end on its line"
                                    : "a character that has no place here: '" + token.getText() + "'");
        }
        if (type == ScriptParser.UNSUPPORTED) {
            throw new Fault(Fault.at(token), "'" + token.getText() + "' is not part of the settings script");
        }
        if (lineBegins) {
            lineBegins = false;
            signs = 0;
            indent(token);
        }
        anyInLine = true;
        count(token);
        ready.add(token);
    }

    private void indent(Token token) {
        int column = token.getCharPositionInLine();
        if (column > indents.peek()) {
            if (indents.size() > DEEPEST_INDENTS) {
                throw new Fault(Fault.at(token), "indented more than " + DEEPEST_INDENTS + " times");
            }
            indents.push(column);
            ready.add(made(token, ScriptParser.INDENT, "an indent"));
        }
        while (column < indents.peek()) {
            indents.pop();
            ready.add(made(token, ScriptParser.DEDENT, "the end of an indent"));
        }
        if (column != indents.peek()) {
            throw new Fault(Fault.at(token), "the indent fits no line above");
        }
    }

    private void count(Token token) {
        switch (token.getText()) {
            case "(", "[", "{" -> {
                if (++brackets > DEEPEST_BRACKETS) {
                    throw new Fault(Fault.at(token), "more than " + DEEPEST_BRACKETS + " brackets within each other");
                }
            }
            case ")", "]", "}" -> brackets = Math.max(0, brackets - 1);
            default -> {}
        }
        // Only what the parser descends for without a bracket: signs, 'not' and the rest of a choice.
        signs = switch (token.getText()) {
            case "-", "+", "not", "else" -> signs + 1;
            case "=", ":", "," -> 0;
            default -> signs;
        };
        if (signs > MOST_SIGNS) {
            throw new Fault(Fault.at(token), "more than " + MOST_SIGNS + " operators in one expression");
        }
    }

    private static Token made(Token at, int type, String text) {
        CommonToken token = new CommonToken(at);
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
