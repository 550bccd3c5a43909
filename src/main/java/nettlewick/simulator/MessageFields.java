package nettlewick.simulator;

import java.util.List;
import java.util.Map;

/** Typed access to the fields of a JSON object; errors name the object, the field and the expected type. */
final class MessageFields {
    private final String objectName;
    private final Map<String, Object> values;

    /**
     * Wraps an object.
     *
     * @param objectName the name of the object in error messages
     */
    MessageFields(String objectName, Map<String, Object> values) {
        this.objectName = objectName;
        this.values = values;
    }

    /** Wraps an array element, which must be an object. */
    static MessageFields of(String objectName, Object element) {
        return new MessageFields(objectName, object(element));
    }

    /** The same fields with another object name in error messages. */
    MessageFields withName(String newName) {
        return new MessageFields(newName, values);
    }

    String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw new MalformedMessageException(objectName + "." + name + " is not a text");
    }

    /** The string, or null if the field is missing or not a string. */
    String textOrNull(String name) {
        return values.get(name) instanceof String text ? text : null;
    }

    long wholeNumber(String name) {
        if (required(name) instanceof Long value) {
            return value;
        }
        throw new MalformedMessageException(objectName + "." + name + " is not a whole number");
    }

    double numberOr(String name, double defaultValue) {
        Object value = values.get(name);
        return value == null ? defaultValue : toNumber(value);
    }

    boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    MessageFields object(String name) {
        return of(objectName + "." + name, required(name));
    }

    /** The nested object, or null if the field is missing. */
    MessageFields objectOrNull(String name) {
        return values.get(name) == null ? null : object(name);
    }

    List<?> list(String name) {
        if (required(name) instanceof List<?> list) {
            return list;
        }
        throw new MalformedMessageException(objectName + "." + name + " is not an array");
    }

    List<?> listOrEmpty(String name) {
        return values.get(name) == null ? List.of() : list(name);
    }

    private Object required(String name) {
        return JsonValues.requirePresent(values.get(name), objectName, name);
    }

    static double toNumber(Object value) {
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw new MalformedMessageException("a number is expected where there is " + value);
    }

    private static Map<String, Object> object(Object value) {
        if (value instanceof Map<?, ?>) {
            @SuppressWarnings("unchecked")
            Map<String, Object> map = (Map<String, Object>) value;
            return map;
        }
        throw new MalformedMessageException("an object is expected where there is " + value);
    }
}
