package nettlewick.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * One keyword of a block, for the check and for the reference page.
 *
 * @param name     as it is written
 * @param forms    the ways to write its values; each is a list of types, one for each word
 * @param fallback its values where it is not set, as they would be written; null for none
 * @param many     whether it may be set more than once
 * @param required whether it has to be set
 * @param live     whether SIGHUP applies a change; otherwise only a restart does
 * @param about    what it does, for the reference page
 */
public record Keyword(
        String name,
        List<List<ValueType<?>>> forms,
        String defaultWords,
        boolean isRepeatable,
        boolean isRequired,
        boolean isReloadable,
        String description) {
    /** A keyword with one value and a default. */
    public static Keyword withDefault(String name, ValueType<?> type, String fallback, String about) {
        return new Keyword(name, List.of(List.of(type)), fallback, false, false, false, about);
    }

    /** A keyword with one value that has to be set. */
    public static Keyword required(String name, ValueType<?> type, String about) {
        return new Keyword(name, List.of(List.of(type)), null, false, true, false, about);
    }

    /** A keyword with one value that may be left out and has no default. */
    public static Keyword optional(String name, ValueType<?> type, String about) {
        return new Keyword(name, List.of(List.of(type)), null, false, false, false, about);
    }

    /** A keyword with several words, which may be set more than once and is applied by SIGHUP. */
    public static Keyword repeatable(String name, String about, ValueType<?>... types) {
        return new Keyword(name, List.of(List.of(types)), null, true, false, true, about);
    }

    /** The same, applied by SIGHUP. */
    public Keyword reloadable() {
        return new Keyword(name, forms, defaultWords, isRepeatable, isRequired, true, description);
    }

    /** The same, with another way to write its values. */
    public Keyword withAlternativeForm(ValueType<?>... types) {
        List<List<ValueType<?>>> all = new ArrayList<>(forms);
        all.add(List.of(types));
        return new Keyword(name, all, defaultWords, isRepeatable, isRequired, isReloadable, description);
    }

    /** How it is written, with all of its forms. */
    String usage() {
        return usage(forms);
    }

    private String usage(List<List<ValueType<?>>> some) {
        return some.stream()
                .map(form -> name + " " + form.stream().map(ValueType::name).collect(Collectors.joining(" ")))
                .collect(Collectors.joining(" or "));
    }

    /** The values that these words stand for; throws {@link InvalidSettingsException} where no form fits. */
    List<Object> parse(SourceLocation location, List<String> words) {
        for (List<ValueType<?>> form : forms) {
            List<Object> values = parsePrefix(form, words);
            if (values.size() == form.size() && form.size() == words.size()) {
                return List.copyOf(values);
            }
        }
        throw mismatch(location, words);
    }

    /** The values of the words up to the first one that does not fit the form. */
    private static List<Object> parsePrefix(List<ValueType<?>> form, List<String> words) {
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < Math.min(form.size(), words.size()); i++) {
            Object value = form.get(i).parse(words.get(i));
            if (value == null) {
                break;
            }
            values.add(value);
        }
        return values;
    }

    /** Names the first wrong word where there is one form of this length, else the forms that fit best. */
    private InvalidSettingsException mismatch(SourceLocation location, List<String> words) {
        List<ValueType<?>> first = forms.get(0);
        if (forms.size() == 1 && first.size() == words.size()) {
            int wrong = parsePrefix(first, words).size();
            return InvalidSettingsException.invalidValue(
                    location, name, words.get(wrong), first.get(wrong).expectation());
        }
        return InvalidSettingsException.invalidValue(
                location, name, String.join(" ", words), "written as: " + usage(nearestForms(words)));
    }

    private List<List<ValueType<?>>> nearestForms(List<String> words) {
        int longestPrefix = forms.stream()
                .mapToInt(form -> parsePrefix(form, words).size())
                .max()
                .orElse(0);
        return longestPrefix <= 1
                ? forms
                : forms.stream()
                        .filter(form -> parsePrefix(form, words).size() == longestPrefix)
                        .toList();
    }
}
