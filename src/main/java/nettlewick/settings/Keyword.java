package nettlewick.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One keyword of a block, as the check and the reference see it.
 *
 * @param forms    the ways to write its values; each is a list of types, one a word
 * @param fallback its values where nobody sets it, as they would be written; null for none
 * @param many     whether it may stand more than once
 * @param required whether the block makes no sense without it
 * @param live     whether SIGHUP changes it; else only a restart does
 * @param about    what it does, in a sentence
 */
public record Keyword(
        String name,
        List<List<ValueType<?>>> forms,
        String fallback,
        boolean many,
        boolean required,
        boolean live,
        String about) {
    /** A keyword with one value and a value for where nobody sets it. */
    public static Keyword of(String name, ValueType<?> type, String fallback, String about) {
        return new Keyword(name, List.of(List.of(type)), fallback, false, false, false, about);
    }

    /** One that has to be set. */
    public static Keyword needed(String name, ValueType<?> type, String about) {
        return new Keyword(name, List.of(List.of(type)), null, false, true, false, about);
    }

    /** One that may be left out, without a value for that. */
    public static Keyword free(String name, ValueType<?> type, String about) {
        return new Keyword(name, List.of(List.of(type)), null, false, false, false, about);
    }

    /** One of several words that may stand more than once. */
    public static Keyword several(String name, String about, ValueType<?>... types) {
        return new Keyword(name, List.of(List.of(types)), null, true, false, true, about);
    }

    /** The same, taken over by SIGHUP. */
    public Keyword changing() {
        return new Keyword(name, forms, fallback, many, required, true, about);
    }

    /** The same, with one more way to write it. */
    public Keyword or(ValueType<?>... types) {
        List<List<ValueType<?>>> all = new java.util.ArrayList<>(forms);
        all.add(List.of(types));
        return new Keyword(name, all, fallback, many, required, live, about);
    }

    /** How it is written. */
    String usage() {
        return usage(forms);
    }

    private String usage(List<List<ValueType<?>>> some) {
        return some.stream()
                .map(form -> name + " " + form.stream().map(ValueType::name).collect(Collectors.joining(" ")))
                .collect(Collectors.joining(" or "));
    }

    /** The values that these words stand for; BadSettings where they stand for none. */
    List<Object> read(SourceLocation location, List<String> words) {
        String wrong = null;
        String expected = null;
        int furthest = 0;
        List<List<ValueType<?>>> near = new java.util.ArrayList<>();
        for (List<ValueType<?>> form : forms) {
            List<Object> values = new java.util.ArrayList<>();
            for (int i = 0; i < Math.min(form.size(), words.size()); i++) {
                Object value = form.get(i).read(words.get(i));
                if (value == null) {
                    if (form.size() == words.size()) {
                        wrong = words.get(i);
                        expected = form.get(i).wanted();
                    }
                    break;
                }
                values.add(value);
            }
            if (values.size() == form.size() && form.size() == words.size()) {
                return List.copyOf(values);
            }
            if (values.size() > furthest) {
                furthest = values.size();
                near.clear();
            }
            if (values.size() == furthest) {
                near.add(form);
            }
        }
        throw wrong != null && forms.size() == 1
                ? InvalidSettingsException.value(location, name, wrong, expected)
                : InvalidSettingsException.value(
                        location, name, String.join(" ", words), "written as: " + usage(furthest > 1 ? near : forms));
    }
}
