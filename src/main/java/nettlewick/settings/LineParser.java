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
 * Parses settings files into lines of words. Resolves {@code include FILE} relative to the including file, and checks
 * that each file closes the blocks that it opens. {@link LineTokenizer} defines the syntax of a line.
 */
final class LineParser {
    private static final int MAX_INCLUDE_DEPTH = 16;
    private static final int MAX_LINES = 100_000;
    private static final String INCLUDE = "include";

    /**
     * A line that is neither empty nor only a comment.
     *
     * @param words  the words without braces
     * @param opens  whether the line ends in the opening brace of a block
     * @param closes whether the line is the closing brace of a block, without words
     */
    record Line(SourceLocation location, List<String> words, boolean opens, boolean closes) {}

    private final List<Line> lines = new ArrayList<>();
    private final Deque<Path> includeStack = new ArrayDeque<>();

    private LineParser() {}

    /** Parses a file; each include is replaced by the lines of the included file. */
    static List<Line> parseFile(Path file) {
        LineParser parser = new LineParser();
        parser.addFile(file, new SourceLocation("command line", 0));
        return parser.lines;
    }

    /** Parses text that is not in a file; includes are resolved relative to the current directory. */
    static List<Line> parseText(String name, String text) {
        LineParser parser = new LineParser();
        parser.addText(name, Path.of(name).toAbsolutePath(), text);
        return parser.lines;
    }

    private void addFile(Path file, SourceLocation includedAt) {
        Path realPath;
        String text;
        try {
            realPath = file.toRealPath();
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(Files.readAllBytes(realPath)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidSettingsException(includedAt, file + " is not UTF-8 text");
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    includedAt, file + " cannot be read (" + e.getClass().getSimpleName() + ")");
        }
        if (includeStack.contains(realPath)) {
            throw InvalidSettingsException.invalidValue(
                    includedAt, INCLUDE, file.toString(), "a file that is not part of an include loop");
        }
        if (includeStack.size() >= MAX_INCLUDE_DEPTH) {
            throw InvalidSettingsException.invalidValue(
                    includedAt, INCLUDE, file.toString(), "nested less than " + MAX_INCLUDE_DEPTH + " deep");
        }
        addText(file.toString(), realPath, text);
    }

    private void addText(String name, Path path, String text) {
        includeStack.push(path);
        int lineNumber = 0;
        int blockDepth = 0;
        for (String raw : text.split("\n", -1)) {
            SourceLocation location = new SourceLocation(name, ++lineNumber);
            Line line =
                    LineTokenizer.parseLine(location, raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw);
            if (line == null) {
                continue;
            }
            blockDepth += line.opens() ? 1 : line.closes() ? -1 : 0;
            if (blockDepth < 0) {
                throw new InvalidSettingsException(location, "unmatched } in this file");
            }
            if (!line.closes() && line.words().get(0).equals(INCLUDE)) {
                addIncluded(line, path);
            } else {
                lines.add(line);
            }
            if (lines.size() > MAX_LINES) {
                throw new InvalidSettingsException(location, "more than " + MAX_LINES + " lines");
            }
        }
        if (blockDepth > 0) {
            throw new InvalidSettingsException(
                    new SourceLocation(name, lineNumber), "unclosed block at the end of the file: } is missing");
        }
        includeStack.pop();
    }

    private void addIncluded(Line line, Path includingFile) {
        if (line.words().size() != 2 || line.opens()) {
            throw InvalidSettingsException.invalidValue(
                    line.location(),
                    INCLUDE,
                    String.join(" ", line.words().subList(1, line.words().size())),
                    "one file");
        }
        try {
            addFile(includingFile.resolveSibling(line.words().get(1)), line.location());
        } catch (InvalidPathException e) {
            throw InvalidSettingsException.invalidValue(
                    line.location(), INCLUDE, line.words().get(1), "the path of a file");
        }
    }
}
