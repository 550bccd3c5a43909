package nettlewick.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON values from a parser into maps, lists, texts, numbers and truth values. */
final class JsonValues {
    private JsonValues() {}

    /** The object whose start the parser has just read. */
    static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> map = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            map.put(name, value(parser, parser.nextToken()));
        }
        return map;
    }

    private static Object value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            default -> null;
        };
    }

    private static List<Object> array(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(value(parser, parser.currentToken()));
        }
        return list;
    }

    /** Seeds may use all 64 bits without a sign. */
    private static Long integer(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue()
                : parser.getLongValue();
    }

    /** Fails unless the parser stands at this token. */
    static void expect(JsonParser parser, JsonToken token, String what) {
        if (parser.currentToken() != token) {
            throw new MalformedMessageException(what + " is expected, not " + parser.currentToken());
        }
    }

    /** The whole number at which the parser stands. */
    static long wholeNumber(JsonParser parser, String where, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedMessageException(where + "." + name + " is not a whole number");
        }
        return parser.getLongValue();
    }

    /** The value, which must not be missing. */
    static <T> T required(T value, String where, String name) {
        if (value == null) {
            throw new MalformedMessageException(where + " lacks " + name);
        }
        return value;
    }
}
