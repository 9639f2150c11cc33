package reedmux.control.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.StringWriter;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON as texts, {@link BigDecimal}s, flags, lists and maps, each number as exact as it was told. */
public final class ItemJson {
    private static final int MAX_DEPTH = 32;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private ItemJson() {}

    /** Reads one whole document. */
    public static Object parse(String text) throws InvalidConfigurationException {
        try (JsonParser json = FACTORY.createParser(text)) {
            json.nextToken();
            Object value = parseValue(json, 0);
            if (json.nextToken() != null) {
                throw new InvalidConfigurationException("more follows behind the document");
            }
            return value;
        } catch (IOException e) {
            throw new InvalidConfigurationException("the document cannot be read in full");
        }
    }

    private static Object parseValue(JsonParser json, int depth) throws IOException, InvalidConfigurationException {
        JsonToken token = json.currentToken();
        if (token == null || depth > MAX_DEPTH) {
            throw new InvalidConfigurationException("the document cannot be read in full");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (json.nextToken() != JsonToken.END_OBJECT) {
                    String name = json.currentName();
                    json.nextToken();
                    map.put(name, parseValue(json, depth + 1));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(parseValue(json, depth + 1));
                }
                return list;
            }
            case VALUE_STRING -> {
                return json.getText();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return token == JsonToken.VALUE_TRUE;
            }
            case VALUE_NULL -> {
                return null;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return json.getDecimalValue();
            }
            default -> throw new InvalidConfigurationException("the document cannot be read in full");
        }
    }

    public static String write(Object value) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            write(json, value);
        } catch (IOException e) {
            throw new IllegalStateException(e); // a StringWriter has none
        }
        return out.toString();
    }

    private static void write(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            json.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                json.writeFieldName((String) entry.getKey());
                write(json, entry.getValue());
            }
            json.writeEndObject();
        } else if (value instanceof List<?> list) {
            json.writeStartArray();
            for (Object element : list) {
                write(json, element);
            }
            json.writeEndArray();
        } else if (value instanceof String text) {
            json.writeString(text);
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else if (value instanceof BigDecimal number) {
            json.writeNumber(number);
        } else if (value instanceof Number number) {
            json.writeNumber(number.longValue());
        } else {
            json.writeNull();
        }
    }

    // ---- What is expected of a place ----------------------------------------------------------------
    @SuppressWarnings("unchecked")
    public static Map<String, Object> requireObject(Object value, String place) throws InvalidConfigurationException {
        if (!(value instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException(place + (value == null ? " is missing" : " is not an object"));
        }
        return (Map<String, Object>) value;
    }

    public static List<?> listOrEmpty(Object value, String place) throws InvalidConfigurationException {
        if (value == null) {
            return List.of();
        } else if (!(value instanceof List<?> list)) {
            throw new InvalidConfigurationException(place + " is not a list");
        } else {
            return list;
        }
    }

    public static String requireString(Object value, String place) throws InvalidConfigurationException {
        if (!(value instanceof String text)) {
            throw new InvalidConfigurationException(place + (value == null ? " is missing" : " is not a text"));
        }
        return text;
    }

    /** A number of nought or more. */
    public static double numberOrDefault(Object value, double otherwise, String place)
            throws InvalidConfigurationException {
        if (value == null) {
            return otherwise;
        } else if (!(value instanceof BigDecimal number)) {
            throw new InvalidConfigurationException(place + " is not a number");
        } else if (number.signum() < 0) {
            throw new InvalidConfigurationException(place + " is below 0");
        } else {
            return number.doubleValue();
        }
    }

    public static long requireInteger(Object value, String place) throws InvalidConfigurationException {
        double number = numberOrDefault(value, -1, place);
        if (number < 0 || number != Math.rint(number) || number > 1L << 53) {
            throw new InvalidConfigurationException(place + (value == null ? " is missing" : " is not a whole number"));
        }
        return (long) number;
    }

    public static boolean booleanOrDefault(Object value, boolean otherwise, String place)
            throws InvalidConfigurationException {
        if (value != null && !(value instanceof Boolean)) {
            throw new InvalidConfigurationException(place + " is neither true nor false");
        }
        return value == null ? otherwise : (Boolean) value;
    }
}
