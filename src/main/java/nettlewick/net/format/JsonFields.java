package nettlewick.net.format;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of one JSON object with their types and ranges. A missing or invalid field is reported in one line.
 */
public final class JsonFields {
    /**
     * A field is missing or invalid; the message names the field, its value and what was expected, in one
     * line.
     */
    public static final class InvalidFieldException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /** Creates the error; the message is shortened to 300 characters. */
        public InvalidFieldException(String field, Object value, String expected) {
            super(toSingleLine(field + " is " + value + ", but has to be " + expected));
        }

        private static String toSingleLine(String text) {
            String flat = text.replaceAll("[\\r\\n]+", " ");
            return flat.length() > 300 ? flat.substring(0, 300) + "..." : flat;
        }
    }

    private final String pathPrefix;
    private final JsonObject object;

    private JsonFields(String pathPrefix, JsonObject object) {
        this.pathPrefix = pathPrefix;
        this.object = object;
    }

    /**
     * Parses a text that holds one object.
     *
     * @param name what the text is called in messages
     */
    public static JsonFields parse(String name, String text) {
        JsonElement element;
        try {
            element = JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new InvalidFieldException(name, "not JSON (" + e.getMessage() + ")", "a JSON object");
        }
        return new JsonFields("", requireObject(name, element));
    }

    private static JsonObject requireObject(String name, JsonElement element) {
        if (element == null || !element.isJsonObject()) {
            throw new InvalidFieldException(name, element, "an object");
        }
        return element.getAsJsonObject();
    }

    /** The path of this field from the outermost object, as messages name it. */
    public String path(String name) {
        return pathPrefix + name;
    }

    /** Whether the field is present and not null. */
    public boolean has(String name) {
        return object.has(name) && !object.get(name).isJsonNull();
    }

    /** The string in this field. */
    public String text(String name) {
        JsonElement e = object.get(name);
        if (e instanceof JsonPrimitive p && p.isString()) {
            return p.getAsString();
        }
        throw new InvalidFieldException(path(name), e, "a string");
    }

    /** The string in this field, or the default if the field is absent. */
    public String textOr(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** The number in this field, which has to be within these limits. */
    public double number(String name, double min, double max) {
        JsonElement e = object.get(name);
        double value = e instanceof JsonPrimitive p && p.isNumber() ? p.getAsDouble() : Double.NaN;
        if (!(value >= min && value <= max)) {
            throw new InvalidFieldException(
                    path(name), e, "a number from " + formatNumber(min) + " to " + formatNumber(max));
        }
        return value;
    }

    /** The number in this field, or the default if the field is absent. */
    public double numberOr(String name, double defaultValue, double min, double max) {
        return has(name) ? number(name, min, max) : defaultValue;
    }

    /** The whole number in this field, which has to be within these limits. */
    public long integer(String name, long min, long max) {
        double value = number(name, min, max);
        if (value != Math.rint(value)) {
            throw new InvalidFieldException(path(name), object.get(name), "a whole number");
        }
        return object.get(name).getAsLong();
    }

    /** The whole number in this field, or the default if the field is absent. */
    public long integerOr(String name, long defaultValue, long min, long max) {
        return has(name) ? integer(name, min, max) : defaultValue;
    }

    /** The boolean in this field; false if the field is absent. */
    public boolean flag(String name) {
        if (!has(name)) {
            return false;
        }
        if (object.get(name) instanceof JsonPrimitive p && p.isBoolean()) {
            return p.getAsBoolean();
        }
        throw new InvalidFieldException(path(name), object.get(name), "true or false");
    }

    /** The object in this field. */
    public JsonFields object(String name) {
        return new JsonFields(path(name) + ".", requireObject(path(name), object.get(name)));
    }

    /** The object in this field, or an empty one if the field is absent. */
    public JsonFields objectOrEmpty(String name) {
        return has(name) ? object(name) : new JsonFields(path(name) + ".", new JsonObject());
    }

    /** The length of the array in this field; 0 if the field is absent. */
    public int size(String name) {
        return array(name).size();
    }

    /** The object at that index of the array in this field. */
    public JsonFields object(String name, int index) {
        String elementPath = path(name) + "[" + index + "]";
        return new JsonFields(
                elementPath + ".", requireObject(elementPath, array(name).get(index)));
    }

    /** The objects of the array in this field; empty if the field is absent. */
    public List<JsonFields> objects(String name) {
        List<JsonFields> parts = new ArrayList<>();
        for (int i = 0; i < size(name); i++) {
            parts.add(object(name, i));
        }
        return parts;
    }

    /** The strings of the array in this field; empty if the field is absent. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (JsonElement e : array(name)) {
            if (!(e instanceof JsonPrimitive p && p.isString())) {
                throw new InvalidFieldException(path(name) + "[" + texts.size() + "]", e, "a string");
            }
            texts.add(e.getAsString());
        }
        return texts;
    }

    /** The numbers of the array in this field; empty if the field is absent. */
    public List<Double> numbers(String name) {
        List<Double> numbers = new ArrayList<>();
        for (JsonElement e : array(name)) {
            if (!(e instanceof JsonPrimitive p && p.isNumber())) {
                throw new InvalidFieldException(path(name) + "[" + numbers.size() + "]", e, "a number");
            }
            numbers.add(e.getAsDouble());
        }
        return numbers;
    }

    private JsonArray array(String name) {
        if (!has(name)) {
            return new JsonArray();
        }
        if (object.get(name) instanceof JsonArray array) {
            return array;
        }
        throw new InvalidFieldException(path(name), object.get(name), "an array");
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value) : "" + value;
    }
}
