package reedmux.boot;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the part of TOML that a settings file uses: tables, and keys with texts, numbers, flags and lists of
 * these. What is read is flat: {@code table.key} to its value.
 */
final class Toml {
    private final String file;
    private final String text;
    private int at;
    private int line = 1;

    private Toml(String file, String text) {
        this.file = file;
        this.text = text;
    }

    static Map<String, Object> read(String file, String text) throws BootException {
        return new Toml(file, text).document();
    }

    private Map<String, Object> document() throws BootException {
        Map<String, Object> all = new LinkedHashMap<>();
        String table = "";
        for (skip(true); at < text.length(); skip(true)) {
            if (text.charAt(at) == '[') {
                int end = text.indexOf(']', at);
                if (end < 0) {
                    throw bad("a table's name does not end");
                }
                table = text.substring(at + 1, end).trim() + '.';
                at = end + 1;
            } else {
                String key = table + key();
                skip(false);
                if (at >= text.length() || text.charAt(at) != '=') {
                    throw bad(key + " has no value");
                }
                at++;
                skip(false);
                if (all.put(key, value(key)) != null) {
                    throw bad(key + " is told twice");
                }
            }
            skip(false);
            if (at < text.length() && text.charAt(at) != '\n' && text.charAt(at) != '\r') {
                throw bad("more follows on the line than can be read");
            }
        }
        return all;
    }

    private String key() throws BootException {
        if (text.charAt(at) == '"') {
            return string("a key");
        }
        int begin = at;
        while (at < text.length()
                && (Character.isLetterOrDigit(text.charAt(at)) || "-_.".indexOf(text.charAt(at)) >= 0)) {
            at++;
        }
        if (begin == at) {
            throw bad("a key cannot be read");
        }
        return text.substring(begin, at);
    }

    private Object value(String key) throws BootException {
        char first = at < text.length() ? text.charAt(at) : '\n';
        if (first == '"') {
            return string(key);
        } else if (first == '[') {
            return list(key);
        }
        int begin = at;
        while (at < text.length() && ",]#\r\n \t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(begin, at);
        if (word.equals("true") || word.equals("false")) {
            return Boolean.valueOf(word);
        }
        try {
            return Double.valueOf(word.replace("_", ""));
        } catch (NumberFormatException e) {
            throw bad(key + " is neither a text, a number, a flag nor a list");
        }
    }

    private String string(String key) throws BootException {
        StringBuilder out = new StringBuilder();
        for (at++; at < text.length() && text.charAt(at) != '"' && text.charAt(at) != '\n'; at++) {
            if (text.charAt(at) == '\\' && at + 1 < text.length()) {
                at++;
            }
            out.append(text.charAt(at));
        }
        if (at >= text.length() || text.charAt(at) != '"') {
            throw bad(key + " is a text that does not end");
        }
        at++;
        return out.toString();
    }

    private List<Object> list(String key) throws BootException {
        List<Object> all = new ArrayList<>();
        at++;
        for (skip(true); at < text.length() && text.charAt(at) != ']'; skip(true)) {
            all.add(value(key));
            skip(true);
            if (at < text.length() && text.charAt(at) == ',') {
                at++;
            } else if (at >= text.length() || text.charAt(at) != ']') {
                throw bad(key + " is a list that does not end");
            }
        }
        if (at >= text.length()) {
            throw bad(key + " is a list that does not end");
        }
        at++;
        return all;
    }

    /** Passes over blanks and remarks, and over ends of lines where they mean nothing. */
    private void skip(boolean lines) {
        for (; at < text.length(); at++) {
            char c = text.charAt(at);
            if (c == '#') {
                while (at + 1 < text.length() && text.charAt(at + 1) != '\n') {
                    at++;
                }
            } else if (c == '\n' && lines) {
                line++;
            } else if (c != ' ' && c != '\t' && (c != '\r' || !lines)) {
                return;
            }
        }
    }

    private BootException bad(String what) {
        return new BootException(file + ":" + line + ": " + what);
    }
}
