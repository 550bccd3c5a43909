package nettlewick.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A keyword that may be set in a block, for validation and for the settings reference.
 *
 * @param name         the keyword as written
 * @param forms        the alternative argument lists; each has one type per word
 * @param defaultWords the arguments that apply if the keyword is not set, as written; null for none
 * @param isRepeatable whether the keyword may be set more than once
 * @param isRequired   whether the keyword must be set
 * @param isReloadable whether SIGHUP applies a change; otherwise a restart is required
 * @param description  the description in the settings reference
 */
public record Keyword(
        String name,
        List<List<ValueType<?>>> forms,
        String defaultWords,
        boolean isRepeatable,
        boolean isRequired,
        boolean isReloadable,
        String description) {
    /** A keyword with one argument and a default. */
    public static Keyword withDefault(String name, ValueType<?> type, String defaultWords, String description) {
        return new Keyword(name, List.of(List.of(type)), defaultWords, false, false, false, description);
    }

    /** A keyword with one argument that must be set. */
    public static Keyword required(String name, ValueType<?> type, String description) {
        return new Keyword(name, List.of(List.of(type)), null, false, true, false, description);
    }

    /** A keyword with one argument that may be omitted and has no default. */
    public static Keyword optional(String name, ValueType<?> type, String description) {
        return new Keyword(name, List.of(List.of(type)), null, false, false, false, description);
    }

    /** A keyword with several arguments that may be set more than once; SIGHUP applies changes. */
    public static Keyword repeatable(String name, String description, ValueType<?>... types) {
        return new Keyword(name, List.of(List.of(types)), null, true, false, true, description);
    }

    /** A copy of this keyword whose changes SIGHUP applies. */
    public Keyword reloadable() {
        return new Keyword(name, forms, defaultWords, isRepeatable, isRequired, true, description);
    }

    /** A copy of this keyword with an additional form. */
    public Keyword withAlternativeForm(ValueType<?>... types) {
        List<List<ValueType<?>>> allForms = new ArrayList<>(forms);
        allForms.add(List.of(types));
        return new Keyword(name, allForms, defaultWords, isRepeatable, isRequired, isReloadable, description);
    }

    /** The syntax of the keyword in all of its forms. */
    String usage() {
        return usage(forms);
    }

    private String usage(List<List<ValueType<?>>> usageForms) {
        return usageForms.stream()
                .map(form -> name + " " + form.stream().map(ValueType::name).collect(Collectors.joining(" ")))
                .collect(Collectors.joining(" or "));
    }

    /** Parses the arguments by the first form that matches; throws {@link InvalidSettingsException} if none does. */
    List<Object> parse(SourceLocation location, List<String> words) {
        for (List<ValueType<?>> form : forms) {
            List<Object> values = parsePrefix(form, words);
            if (values.size() == form.size() && form.size() == words.size()) {
                return List.copyOf(values);
            }
        }
        throw mismatch(location, words);
    }

    /** Parses the words up to the first one that does not match the form. */
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

    /** Names the first invalid word if the only form has this length, otherwise the forms that match best. */
    private InvalidSettingsException mismatch(SourceLocation location, List<String> words) {
        List<ValueType<?>> first = forms.get(0);
        if (forms.size() == 1 && first.size() == words.size()) {
            int mismatchIndex = parsePrefix(first, words).size();
            return InvalidSettingsException.invalidValue(
                    location,
                    name,
                    words.get(mismatchIndex),
                    first.get(mismatchIndex).expectation());
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
