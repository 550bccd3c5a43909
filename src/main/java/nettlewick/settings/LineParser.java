package nettlewick.settings;

import java.io.IOException;
import java.nio.ByteBuffer;
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
 * Reads settings files as lines of words: follows {@code include FILE}, which is resolved beside the including file,
 * and checks that each file closes the blocks that it opens. A line's syntax is {@link LineTokenizer}'s.
 */
final class LineParser {
    private static final int MAX_INCLUDE_DEPTH = 16;
    private static final int MAX_LINES = 100_000;
    private static final String INCLUDE = "include";

    /**
     * A line that is neither empty nor only a comment.
     *
     * @param words  without the braces
     * @param opens  whether it ends in the opening brace of a block
     * @param closes whether it is the closing brace of a block; it has no words then
     */
    record Line(SourceLocation place, List<String> words, boolean opens, boolean closes) {}

    private final List<Line> lines = new ArrayList<>();
    private final Deque<Path> includeStack = new ArrayDeque<>();

    private LineParser() {}

    /** All lines of a file, with those of an included file in place of the include. */
    static List<Line> parseFile(Path file) {
        LineParser all = new LineParser();
        all.addFile(file, new SourceLocation("command line", 0));
        return all.lines;
    }

    /** The lines of a text that is in no file; includes are resolved in the current folder. */
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
                    .decode(ByteBuffer.wrap(Files.readAllBytes(real)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidSettingsException(asked, file + " is not UTF-8 text");
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    asked, file + " cannot be read (" + e.getClass().getSimpleName() + ")");
        }
        if (includeStack.contains(real)) {
            throw InvalidSettingsException.invalidValue(
                    asked, INCLUDE, file.toString(), "a file that does not include itself: this is a loop");
        }
        if (includeStack.size() >= MAX_INCLUDE_DEPTH) {
            throw InvalidSettingsException.invalidValue(
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
            Line line =
                    LineTokenizer.parseLine(location, raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw);
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
            throw InvalidSettingsException.invalidValue(
                    line.place(),
                    INCLUDE,
                    String.join(" ", line.words().subList(1, line.words().size())),
                    "one file");
        }
        try {
            addFile(from.resolveSibling(line.words().get(1)), line.place());
        } catch (InvalidPathException e) {
            throw InvalidSettingsException.invalidValue(
                    line.place(), INCLUDE, line.words().get(1), "the path of a file");
        }
    }
}
