package reedmux.control.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON as maps, lists, strings, {@link BigDecimal}s, booleans and nulls, and checks the types of
 * parsed values. Numbers are read as {@link BigDecimal}s to keep the precision with which they were sent.
 */
public final class ItemJson {
    /** Bounds the recursion, so that no document overflows the stack. */
    private static final int MAX_DEPTH = 200;

    /** 2^53: a {@code double} does not represent every integer above this limit. */
    private static final long MAX_EXACT_INTEGER = 1L << 53;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private ItemJson() {}

    /**
     * Parses a document.
     *
     * @throws InvalidConfigurationException if the text is not valid JSON, is nested too deeply, contains a duplicate
     *     field, or continues after the document
     */
    public static Object parse(String text) throws InvalidConfigurationException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            Object value = parseValue(parser, 0);
            if (parser.nextToken() != null) {
                throw new InvalidConfigurationException("more follows behind the document");
            }
            return value;
        } catch (IOException e) {
            throw unreadable(e);
        }
    }

    /** {@code cause} contains the position in the text; null if the parser itself reported no error. */
    private static InvalidConfigurationException unreadable(IOException cause) {
        return new InvalidConfigurationException("the document cannot be read in full", cause);
    }

    private static Object parseValue(JsonParser parser, int depth) throws IOException, InvalidConfigurationException {
        JsonToken token = parser.currentToken();
        if (token == null || depth > MAX_DEPTH) {
            throw unreadable(null);
        }
        return switch (token) {
            case START_OBJECT -> parseObject(parser, depth);
            case START_ARRAY -> parseArray(parser, depth);
            case VALUE_STRING -> parser.getText();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDecimalValue();
            default -> throw unreadable(null);
        };
    }

    private static Map<String, Object> parseObject(JsonParser parser, int depth)
            throws IOException, InvalidConfigurationException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, parseValue(parser, depth + 1));
        }
        return object;
    }

    private static List<Object> parseArray(JsonParser parser, int depth)
            throws IOException, InvalidConfigurationException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(parseValue(parser, depth + 1));
        }
        return array;
    }

    /** Writes a value of the types that {@link #parse} returns; numbers of other types are written as integers. */
    public static String write(Object value) {
        StringWriter out = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException("unexpected I/O error while writing JSON to a string", e);
        }
        return out.toString();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray();
            for (Object element : list) {
                write(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value instanceof BigDecimal number) {
            generator.writeNumber(number);
        } else if (value instanceof Number number) {
            generator.writeNumber(number.longValue());
        } else {
            generator.writeNull();
        }
    }

    // ---- Types -------------------------------------------------------------------------------------
    // In each of these methods {@code key} is the path of the value, which error messages contain.

    /** Returns a required object. */
    @SuppressWarnings("unchecked") // parse creates maps of this type only
    public static Map<String, Object> requireObject(Object value, String key) throws InvalidConfigurationException {
        if (!(value instanceof Map<?, ?>)) {
            throw wrongType(value, key, "an object");
        }
        return (Map<String, Object>) value;
    }

    /** Returns a list, empty if the value is missing. */
    public static List<?> listOrEmpty(Object value, String key) throws InvalidConfigurationException {
        if (value == null) {
            return List.of();
        } else if (!(value instanceof List<?> list)) {
            throw wrongType(value, key, "a list");
        } else {
            return list;
        }
    }

    /** Returns a required string. */
    public static String requireString(Object value, String key) throws InvalidConfigurationException {
        if (!(value instanceof String text)) {
            throw wrongType(value, key, "a text");
        }
        return text;
    }

    /** Returns a number that is at least 0, or the default if the value is missing. */
    public static double numberOrDefault(Object value, double defaultValue, String key)
            throws InvalidConfigurationException {
        if (value == null) {
            return defaultValue;
        } else if (!(value instanceof BigDecimal number)) {
            throw wrongType(value, key, "a number");
        } else if (number.signum() < 0) {
            throw new InvalidConfigurationException(key, key + " is below 0");
        } else if (Double.isInfinite(number.doubleValue())) {
            throw new InvalidConfigurationException(key, key + " is too large");
        } else {
            return number.doubleValue();
        }
    }

    /** Returns a required integer that is at least 0. */
    public static long requireInteger(Object value, String key) throws InvalidConfigurationException {
        double number = numberOrDefault(value, -1, key);
        if (number < 0 || number != Math.rint(number) || number > MAX_EXACT_INTEGER) {
            throw wrongType(value, key, "a whole number");
        }
        return (long) number;
    }

    /** Returns a boolean, or the default if the value is missing. */
    public static boolean booleanOrDefault(Object value, boolean defaultValue, String key)
            throws InvalidConfigurationException {
        if (value != null && !(value instanceof Boolean)) {
            throw new InvalidConfigurationException(key, key + " is neither true nor false");
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    private static InvalidConfigurationException wrongType(Object value, String key, String expected) {
        return new InvalidConfigurationException(key, key + (value == null ? " is missing" : " is not " + expected));
    }
}
