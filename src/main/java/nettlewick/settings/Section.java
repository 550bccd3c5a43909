package nettlewick.settings;

import java.util.List;

/**
 * The schema of a block, for validation and for the settings reference.
 *
 * @param name         the name of the block as written
 * @param label        the type of the word after the name; null for none
 * @param isRepeatable whether there may be several such blocks, with distinct labels if they have labels
 * @param description  the description in the settings reference
 * @param keywords     the keywords that may be set in the block
 * @param subsections  the blocks that may be nested in the block
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
