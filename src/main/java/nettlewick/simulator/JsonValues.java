package nettlewick.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON values from a parser into maps, lists, strings, numbers and booleans. */
final class JsonValues {
    private JsonValues() {}

    /** Reads the rest of the object whose start token is the parser's current token. */
    static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> map = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            map.put(name, readValue(parser, parser.nextToken()));
        }
        return map;
    }

    private static Object readValue(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            default -> null;
        };
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readValue(parser, parser.currentToken()));
        }
        return list;
    }

    /** Seeds may be unsigned 64-bit integers. */
    private static Long readInteger(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue()
                : parser.getLongValue();
    }

    /** Throws unless the parser's current token is the given one. */
    static void requireToken(JsonParser parser, JsonToken token, String description) {
        if (parser.currentToken() != token) {
            throw new MalformedMessageException(description + " is expected, not " + parser.currentToken());
        }
    }

    /** The integer at the parser's current token. */
    static long readWholeNumber(JsonParser parser, String objectName, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedMessageException(objectName + "." + name + " is not a whole number");
        }
        return parser.getLongValue();
    }

    /** Returns the value; throws if it is missing. */
    static <T> T requirePresent(T value, String objectName, String name) {
        if (value == null) {
            throw new MalformedMessageException(objectName + " lacks " + name);
        }
        return value;
    }
}
