package reedmux.gatekeeper.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.common.net.SocketAddresses;

/** What the streaming parser needs to read our documents; each message names the place in the document. */
final class ConfigJson {

    /** Reads the value of one field, whose name it is given; the parser stands at the value. */
    interface JsonFieldReader {
        void read(String name) throws IOException, ConfigException;
    }

    /** Reads one element of an array, at which the parser stands. */
    interface JsonElementReader {
        void read() throws IOException, ConfigException;
    }

    private ConfigJson() {}

    static ConfigException error(JsonParser json, String what) {
        String path = json.getParsingContext().pathAsPointer().toString();
        return new ConfigException(
                (path.isEmpty() ? "the document" : path.substring(1).replace('/', '.')) + ' ' + what);
    }

    static void readObject(JsonParser json, JsonFieldReader field) throws IOException, ConfigException {
        expect(json, JsonToken.START_OBJECT, "is not an object");
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            field.read(name);
        }
    }

    static void readArray(JsonParser json, JsonElementReader element) throws IOException, ConfigException {
        expect(json, JsonToken.START_ARRAY, "is not an array");
        while (json.nextToken() != JsonToken.END_ARRAY) {
            element.read();
        }
    }

    static void expect(JsonParser json, JsonToken token, String message) throws ConfigException {
        if (json.currentToken() != token) {
            throw error(json, message);
        }
    }

    static String text(JsonParser json) throws IOException, ConfigException {
        expect(json, JsonToken.VALUE_STRING, "is not a text");
        return json.getText();
    }

    static long integer(JsonParser json) throws IOException, ConfigException {
        double value = number(json);
        if (value < 0 || value != Math.rint(value) || value > 1L << 53) {
            throw error(json, "is not a whole number of nought or more");
        }
        return (long) value;
    }

    static double number(JsonParser json) throws IOException, ConfigException {
        if (json.currentToken() == null || !json.currentToken().isNumeric()) {
            throw error(json, "is not a number");
        }
        return json.getDoubleValue();
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
