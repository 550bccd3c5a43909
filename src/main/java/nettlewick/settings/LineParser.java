package nettlewick.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The form of the settings: a keyword and its values a line, {@code #} comments, values in double quotes with
 * backslash before a quote or a backslash ({@code \n}, {@code \t} too), {@code include FILE}, and blocks from
 * a
 * line that ends in an open brace to a line with a closing one alone.
 */
final class LineParser {
    private static final int MAX_INCLUDE_DEPTH = 16;
    private static final int MAX_LINES = 100_000;
    private static final String INCLUDE = "include";

    /** One line that says something. {@code closes}: the closing brace of a block, without words. */
    record Line(SourceLocation place, List<String> words, boolean opens, boolean closes) {}

    private final List<Line> lines = new ArrayList<>();
    private final Deque<Path> includeStack = new ArrayDeque<>();

    private LineParser() {}

    /** All lines of a file and of those that it includes, in the order in which they count. */
    static List<Line> parseFile(Path file) {
        LineParser all = new LineParser();
        all.addFile(file, new SourceLocation("command line", 0));
        return all.lines;
    }

    /** The lines of a text that stands in no file; what it includes is looked for in the current folder. */
    static List<Line> parseText(String name, String text) {
        LineParser all = new LineParser();
        all.addText(name, Path.of(name).toAbsolutePath(), text);
        return all.lines;
    }

    private void addFile(Path file, SourceLocation asked) {
        Path real;
        String text;
        try {
            real = file.toRealPath();
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(java.nio.ByteBuffer.wrap(Files.readAllBytes(real)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidSettingsException(asked, file + " is not UTF-8 text");
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    asked, file + " cannot be read (" + e.getClass().getSimpleName() + ")");
        }
        if (includeStack.contains(real)) {
            throw InvalidSettingsException.value(
                    asked, INCLUDE, file.toString(), "a file that does not include itself: " + "this is a loop");
        }
        if (includeStack.size() >= MAX_INCLUDE_DEPTH) {
            throw InvalidSettingsException.value(
                    asked, INCLUDE, file.toString(), "nested less than " + MAX_INCLUDE_DEPTH + " deep");
        }
        addText(file.toString(), real, text);
    }

    private void addText(String name, Path real, String text) {
        includeStack.push(real);
        int number = 0;
        int depth = 0;
        for (String raw : text.split("\n", -1)) {
            SourceLocation location = new SourceLocation(name, ++number);
            Line line = parseLine(location, raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw);
            if (line == null) {
                continue;
            }
            depth += line.opens() ? 1 : line.closes() ? -1 : 0;
            if (depth < 0) {
                throw new InvalidSettingsException(location, "} closes no block of this file");
            }
            if (!line.closes() && line.words().get(0).equals(INCLUDE)) {
                addIncluded(line, real);
            } else {
                lines.add(line);
            }
            if (lines.size() > MAX_LINES) {
                throw new InvalidSettingsException(location, "more than " + MAX_LINES + " lines");
            }
        }
        if (depth > 0) {
            throw new InvalidSettingsException(
                    new SourceLocation(name, number), "the file ends inside a block: } is missing");
        }
        includeStack.pop();
    }

    private void addIncluded(Line line, Path from) {
        if (line.words().size() != 2 || line.opens()) {
            throw InvalidSettingsException.value(
                    line.place(),
                    INCLUDE,
                    String.join(" ", line.words().subList(1, line.words().size())),
                    "one file");
        }
        try {
            addFile(from.resolveSibling(line.words().get(1)), line.place());
        } catch (InvalidPathException e) {
            throw InvalidSettingsException.value(
                    line.place(), INCLUDE, line.words().get(1), "the path of a file");
        }
    }

    /** The words of a line; null where it says nothing. */
    private static Line parseLine(SourceLocation location, String raw) {
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
            if (c == '"') {
                at = parseQuoted(location, raw, at + 1, word);
                words.add(word.toString());
            } else {
                for (; at < raw.length() && !Character.isWhitespace(raw.charAt(at)) && raw.charAt(at) != '#'; at++) {
                    word.append(raw.charAt(at));
                }
                if (word.indexOf("\"") >= 0) {
                    throw new InvalidSettingsException(location, "a quote inside " + word);
                }
                if (word.toString().equals("{")) {
                    opens = true;
                } else {
                    words.add(word.toString());
                }
            }
        }
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
