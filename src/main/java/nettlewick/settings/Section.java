package nettlewick.settings;

import java.util.List;

/**
 * One kind of block, for the check and for the reference page.
 *
 * @param name     as it is written
 * @param label    the type of the word after its name; null for none
 * @param many     whether there may be several, each with a label of its own where there are labels
 * @param about    what it is for, for the reference page
 * @param keywords that may be set in it
 * @param inner    the blocks that it may contain
 */
public record Section(
        String name,
        ValueType<String> label,
        boolean isRepeatable,
        String description,
        List<Keyword> keywords,
        List<Section> subsections) {
    Keyword findKeyword(String word) {
        return keywords.stream().filter(k -> k.name().equals(word)).findFirst().orElse(null);
    }

    Section findSection(String word) {
        return subsections.stream()
                .filter(s -> s.name().equals(word))
                .findFirst()
                .orElse(null);
    }
}
