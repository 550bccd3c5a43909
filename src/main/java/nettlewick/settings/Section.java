package nettlewick.settings;

import java.util.List;

/**
 * One kind of block, as the check and the reference see it.
 *
 * @param label what stands behind its name; null for nothing
 * @param many  whether there may be several (each with a label of its own, where it has one)
 */
public record Section(
        String name, ValueType<String> label, boolean many, String about, List<Keyword> keywords, List<Section> inner) {
    Keyword findKeyword(String word) {
        return keywords.stream().filter(k -> k.name().equals(word)).findFirst().orElse(null);
    }

    Section findSection(String word) {
        return inner.stream().filter(s -> s.name().equals(word)).findFirst().orElse(null);
    }
}
