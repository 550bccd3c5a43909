package nettlewick.simulator;

import java.util.List;
import java.util.Map;

/** The fields of one JSON object; errors name the object, the field and what was expected. */
final class MessageFields {
    private final String where;
    private final Map<String, Object> values;

    /**
     * Wraps an object.
     *
     * @param where how errors call the object
     */
    MessageFields(String where, Map<String, Object> values) {
        this.where = where;
        this.values = values;
    }

    /** Wraps an element of an array, which has to be an object. */
    static MessageFields of(String where, Object element) {
        return new MessageFields(where, object(element));
    }

    /** The same fields under another name in errors. */
    MessageFields named(String newName) {
        return new MessageFields(newName, values);
    }

    String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw new MalformedMessageException(where + "." + name + " is not a text");
    }

    /** The text; null where there is none. */
    String textOrNull(String name) {
        return values.get(name) instanceof String text ? text : null;
    }

    long wholeNumber(String name) {
        if (required(name) instanceof Long value) {
            return value;
        }
        throw new MalformedMessageException(where + "." + name + " is not a whole number");
    }

    double numberOr(String name, double otherwise) {
        Object value = values.get(name);
        return value == null ? otherwise : number(value);
    }

    boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    MessageFields part(String name) {
        return of(where + "." + name, required(name));
    }

    /** The part; null where there is none. */
    MessageFields partOrNull(String name) {
        return values.get(name) == null ? null : part(name);
    }

    List<?> list(String name) {
        if (required(name) instanceof List<?> list) {
            return list;
        }
        throw new MalformedMessageException(where + "." + name + " is not an array");
    }

    List<?> listOrEmpty(String name) {
        return values.get(name) == null ? List.of() : list(name);
    }

    private Object required(String name) {
        return JsonValues.required(values.get(name), where, name);
    }

    static double number(Object value) {
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
