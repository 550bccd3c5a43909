package nettlewick.settings;

import java.util.ArrayList;
import java.util.List;
import nettlewick.settings.LineParser.Line;

/**
 * The syntax of one line: a keyword and its values as words, {@code #} comments, values in double quotes with a
 * backslash before a quote or a backslash ({@code \n} and {@code \t} too), a block's name before an opening brace, or
 * a closing brace alone.
 */
final class LineTokenizer {
    private LineTokenizer() {}

    /** The line's words; null where it is empty or only a comment. */
    static Line parseLine(SourceLocation location, String raw) {
        List<String> words = new ArrayList<>();
        boolean opens = false;
        int at = 0;
        while (at < raw.length()) {
            char c = raw.charAt(at);
            if (Character.isWhitespace(c)) {
                at++;
                continue;
            }
            if (c == '#') {
                break;
            }
            if (opens) {
                throw new InvalidSettingsException(location, "{ has to be the last of its line");
            }
            StringBuilder word = new StringBuilder();
            boolean isQuoted = c == '"';
            at = isQuoted ? parseQuoted(location, raw, at + 1, word) : parsePlain(location, raw, at, word);
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
            throw new InvalidSettingsException(location, "} has to stand alone on its line");
        }
        if (words.isEmpty() && opens) {
            throw new InvalidSettingsException(location, "{ without the name of a block");
        }
        return words.isEmpty() ? null : new Line(location, List.copyOf(words), opens, false);
    }

    /** Appends a word without quotes; where it ends. */
    private static int parsePlain(SourceLocation location, String raw, int from, StringBuilder word) {
        int at = from;
        while (at < raw.length() && !Character.isWhitespace(raw.charAt(at)) && raw.charAt(at) != '#') {
            word.append(raw.charAt(at));
            at++;
        }
        if (word.indexOf("\"") >= 0) {
            throw new InvalidSettingsException(location, "a quote inside " + word);
        }
        return at;
    }

    /** Appends a word in quotes; where it ends, past the closing quote. */
    private static int parseQuoted(SourceLocation location, String raw, int from, StringBuilder word) {
        for (int at = from; at < raw.length(); at++) {
            char c = raw.charAt(at);
            if (c == '"') {
                if (at + 1 < raw.length() && !Character.isWhitespace(raw.charAt(at + 1))) {
                    throw new InvalidSettingsException(location, "no space after the quote of \"" + word + '"');
                }
                return at + 1;
            }
            if (c == '\\') {
                at++;
                int known = at < raw.length() ? "\"\\nt".indexOf(raw.charAt(at)) : -1;
                if (known < 0) {
                    throw new InvalidSettingsException(location, "a backslash before neither \" nor \\ nor n nor t");
                }
                word.append("\"\\\n\t".charAt(known));
            } else {
                word.append(c);
            }
        }
        throw new InvalidSettingsException(location, "the quote before " + word + " is not closed");
    }
}
