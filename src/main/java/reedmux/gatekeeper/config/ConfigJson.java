package reedmux.gatekeeper.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.common.net.SocketAddresses;

/** Reads typed values from the streaming parser. Errors name the path in the document, such as {@code peers.1}. */
final class ConfigJson {

    /** Reads the value of a field. */
    interface JsonFieldReader {
        /** Reads the value of the field {@code name}; the parser is positioned at the value. */
        void read(String name) throws IOException, ConfigException;
    }

    /** Reads one element of an array. */
    interface JsonElementReader {
        /** Reads the element at which the parser is positioned. */
        void read() throws IOException, ConfigException;
    }

    /** 2^53: a double represents every integer up to this value exactly. */
    private static final long MAX_EXACT_INTEGER = 1L << 53;

    private ConfigJson() {}

    /** Creates an exception about the value at which the parser is positioned. */
    static ConfigException error(JsonParser json, String problem) {
        String path = json.getParsingContext().pathAsPointer().toString();
        String key = path.isEmpty() ? "the document" : path.substring(1).replace('/', '.');
        return new ConfigException(
                key + ' ' + problem + " at line " + json.currentLocation().getLineNr());
    }

    static void readObject(JsonParser json, JsonFieldReader reader) throws IOException, ConfigException {
        expect(json, JsonToken.START_OBJECT, "is not an object");
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            reader.read(name);
        }
    }

    static void readArray(JsonParser json, JsonElementReader reader) throws IOException, ConfigException {
        expect(json, JsonToken.START_ARRAY, "is not an array");
        while (json.nextToken() != JsonToken.END_ARRAY) {
            reader.read();
        }
    }

    /** Throws an exception with {@code problem} if the parser is not positioned at {@code token}. */
    static void expect(JsonParser json, JsonToken token, String problem) throws ConfigException {
        if (json.currentToken() != token) {
            throw error(json, problem);
        }
    }

    static String text(JsonParser json) throws IOException, ConfigException {
        expect(json, JsonToken.VALUE_STRING, "is not a text");
        return json.getText();
    }

    /** Reads an integer from 0 to {@link #MAX_EXACT_INTEGER}. */
    static long integer(JsonParser json) throws IOException, ConfigException {
        double value = number(json);
        if (value < 0 || value != Math.rint(value) || value > MAX_EXACT_INTEGER) {
            throw error(json, "is not a whole number of 0 or more");
        }
        return (long) value;
    }

    static double number(JsonParser json) throws IOException, ConfigException {
        if (json.currentToken() == null || !json.currentToken().isNumeric()) {
            throw error(json, "is not a number");
        }
        double value = json.getDoubleValue();
        if (Double.isInfinite(value)) {
            throw error(json, "is too large");
        }
        return value;
    }

    static boolean flag(JsonParser json) throws IOException, ConfigException {
        if (json.currentToken() == null || !json.currentToken().isBoolean()) {
            throw error(json, "is neither true nor false");
        }
        return json.getBooleanValue();
    }

    static InetSocketAddress address(JsonParser json) throws IOException, ConfigException {
        InetSocketAddress address = SocketAddresses.parse(text(json));
        if (address == null) {
            throw error(json, "is not an address:port");
        }
        return address;
    }
}
