package nettlewick.settings;

import java.util.ArrayList;
import java.util.List;
import nettlewick.settings.LineParser.Line;

/**
 * The syntax of a line: a keyword with its arguments as words, the name of a block before an opening brace, or only a
 * closing brace; {@code #} starts a comment. Words may be in double quotes, in which a backslash escapes a quote or a
 * backslash, and {@code \n} and {@code \t} stand for a line feed and a tab.
 */
final class LineTokenizer {
    private LineTokenizer() {}

    /** Parses a line; null if it is empty or only a comment. */
    static Line parseLine(SourceLocation location, String text) {
        List<String> words = new ArrayList<>();
        boolean opens = false;
        int index = 0;
        while (index < text.length()) {
            char c = text.charAt(index);
            if (Character.isWhitespace(c)) {
                index++;
                continue;
            }
            if (c == '#') {
                break;
            }
            if (opens) {
                throw new InvalidSettingsException(location, "{ has to be the last word of its line");
            }
            StringBuilder word = new StringBuilder();
            boolean isQuoted = c == '"';
            index = isQuoted ? parseQuoted(location, text, index + 1, word) : parsePlain(location, text, index, word);
            if (!isQuoted && word.toString().equals("{")) {
                opens = true;
            } else {
                words.add(word.toString());
            }
        }
        return toLine(location, words, opens);
    }

    private static Line toLine(SourceLocation location, List<String> words, boolean opens) {
        if (words.equals(List.of("}")) && !opens) {
            return new Line(location, List.of(), false, true);
        }
        if (words.contains("}")) {
            throw new InvalidSettingsException(location, "} has to be the only word of its line");
        }
        if (words.isEmpty() && opens) {
            throw new InvalidSettingsException(location, "{ without a block name");
        }
        return words.isEmpty() ? null : new Line(location, List.copyOf(words), opens, false);
    }

    /** Appends an unquoted word and returns the index of its end. */
    private static int parsePlain(SourceLocation location, String text, int start, StringBuilder word) {
        int index = start;
        while (index < text.length() && !Character.isWhitespace(text.charAt(index)) && text.charAt(index) != '#') {
            word.append(text.charAt(index));
            index++;
        }
        if (word.indexOf("\"") >= 0) {
            throw new InvalidSettingsException(location, "unexpected quote in " + word);
        }
        return index;
    }

    /** Appends a quoted word and returns the index after the closing quote. */
    private static int parseQuoted(SourceLocation location, String text, int start, StringBuilder word) {
        for (int index = start; index < text.length(); index++) {
            char c = text.charAt(index);
            if (c == '"') {
                if (index + 1 < text.length() && !Character.isWhitespace(text.charAt(index + 1))) {
                    throw new InvalidSettingsException(location, "no space after the closing quote of \"" + word + '"');
                }
                return index + 1;
            }
            if (c == '\\') {
                index++;
                int escapeIndex = index < text.length() ? "\"\\nt".indexOf(text.charAt(index)) : -1;
                if (escapeIndex < 0) {
                    throw new InvalidSettingsException(location, "a backslash must be followed by \", \\, n or t");
                }
                word.append("\"\\\n\t".charAt(escapeIndex));
            } else {
                word.append(c);
            }
        }
        throw new InvalidSettingsException(location, "the opening quote before " + word + " is not closed");
    }
}
