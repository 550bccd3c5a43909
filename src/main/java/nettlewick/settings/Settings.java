package nettlewick.settings;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** The settings of a file, validated against {@link SettingsSchema} or another schema. */
public final class Settings {
    private final Block root;

    private Settings(Block root) {
        this.root = root;
    }

    /** Reads and validates a file; throws {@link InvalidSettingsException} for the first error. */
    public static Settings read(Path file) {
        return read(LineParser.parseFile(file), SettingsSchema.ROOT);
    }

    /** Parses and validates text as if it were a file of that name. */
    public static Settings parse(String name, String text) {
        return read(LineParser.parseText(name, text), SettingsSchema.ROOT);
    }

    /** Reads a file of the same syntax and validates it against another schema. */
    public static Settings read(Path file, Section schema) {
        return read(LineParser.parseFile(file), schema);
    }

    /** Parses text as if it were a file of that name and validates it against another schema. */
    public static Settings parse(String name, String text, Section schema) {
        return read(LineParser.parseText(name, text), schema);
    }

    /** The defaults, which apply without a settings file. */
    public static Settings defaults() {
        return read(List.of(), SettingsSchema.ROOT);
    }

    static Settings read(List<LineParser.Line> lines, Section schema) {
        Deque<Block> open = new ArrayDeque<>();
        open.push(new Block(schema, null, SourceLocation.DEFAULT));
        for (LineParser.Line line : lines) {
            if (line.closes()) {
                requireComplete(open.pop());
            } else if (line.opens()) {
                open.push(openBlock(open.peek(), line));
            } else {
                setValue(open.peek(), line);
            }
        }
        requireComplete(open.peek());
        return new Settings(open.peek());
    }

    private static Block openBlock(Block parent, LineParser.Line line) {
        String name = line.words().get(0);
        Section section = parent.section().findSection(name);
        if (section == null) {
            throw describeUnknown(parent.section(), line);
        }
        List<String> labelWords = line.words().subList(1, line.words().size());
        String label = null;
        if (section.label() == null
                ? !labelWords.isEmpty()
                : labelWords.size() != 1 || (label = section.label().parse(labelWords.get(0))) == null) {
            throw InvalidSettingsException.invalidValue(
                    line.location(),
                    name,
                    String.join(" ", labelWords),
                    section.label() == null
                            ? "followed by { alone"
                            : section.label().expectation());
        }
        Block block = new Block(section, label, line.location());
        parent.add(block);
        return block;
    }

    private static void setValue(Block parent, LineParser.Line line) {
        String name = line.words().get(0);
        Keyword keyword = parent.section().findKeyword(name);
        if (keyword == null) {
            throw describeUnknown(parent.section(), line);
        }
        List<String> words = line.words().subList(1, line.words().size());
        parent.set(keyword, new Block.Value(line.location(), words, keyword.parse(line.location(), words)));
    }

    private static void requireComplete(Block block) {
        for (Keyword keyword : block.section().keywords()) {
            if (keyword.isRequired() && !block.has(keyword.name())) {
                throw new InvalidSettingsException(
                        block.location(), block.section().name() + " lacks the required " + keyword.usage());
            }
        }
    }

    private static InvalidSettingsException describeUnknown(Section parent, LineParser.Line line) {
        String word = line.words().get(0);
        String value = String.join(" ", line.words().subList(1, line.words().size()));
        boolean isMisplaced = line.opens() ? parent.findKeyword(word) != null : parent.findSection(word) != null;
        if (isMisplaced) {
            return InvalidSettingsException.invalidValue(
                    line.location(),
                    word,
                    value + (line.opens() ? " {" : ""),
                    line.opens() ? "on a line without {" : "a block, which opens with {");
        }
        String nearest = Stream.concat(
                        parent.keywords().stream().map(Keyword::name),
                        parent.subsections().stream().map(Section::name))
                .min(Comparator.comparingInt(
                        known -> LevenshteinDistance.getDefaultInstance().apply(word, known)))
                .orElse("none");
        return new InvalidSettingsException(
                line.location(),
                word + (value.isEmpty() ? "" : " (" + value + ")") + " is not a keyword of " + parent.name()
                        + "; the nearest is " + nearest);
    }

    /** The first top-level block with this name. */
    public Optional<Block> block(String name) {
        return root.block(name);
    }

    /** The keywords, qualified by their blocks, that differ in {@code next} and that SIGHUP does not apply. */
    public List<String> keywordsRequiringRestart(Settings next) {
        List<String> names = new ArrayList<>();
        collectDifferences("", root, next.root, names);
        return names;
    }

    private static void collectDifferences(String path, Block current, Block next, List<String> names) {
        for (Keyword keyword : current.section().keywords()) {
            if (!keyword.isReloadable() && !wordsOf(current, keyword).equals(wordsOf(next, keyword))) {
                names.add(path + keyword.name());
            }
        }
        for (Section section : current.section().subsections()) {
            List<Block> before = current.blocks(section.name());
            List<Block> after = next.blocks(section.name());
            if (!before.stream()
                    .map(Block::label)
                    .toList()
                    .equals(after.stream().map(Block::label).toList())) {
                names.add(path + section.name());
                continue;
            }
            for (int i = 0; i < before.size(); i++) {
                collectDifferences(path + section.name() + ".", before.get(i), after.get(i), names);
            }
        }
    }

    private static List<List<String>> wordsOf(Block block, Keyword keyword) {
        return block.all(keyword.name()).stream().map(Block.Value::words).toList();
    }

    /** The effective settings in the syntax of a settings file, each with its source location. */
    public String describe() {
        StringBuilder text = new StringBuilder();
        describe(root, "", text);
        return text.toString();
    }

    private static void describe(Block block, String indent, StringBuilder text) {
        for (Keyword keyword : block.section().keywords()) {
            List<Block.Value> values = block.all(keyword.name());
            if (values.isEmpty()) {
                text.append(indent).append("# ").append(keyword.name()).append(" is not set\n");
            }
            for (Block.Value value : values) {
                text.append(String.format(
                        "%-50s # %s%n",
                        indent + keyword.name() + " "
                                + value.words().stream()
                                        .map(ValueType::quoteIfNeeded)
                                        .collect(Collectors.joining(" ")),
                        value.location()));
            }
        }
        for (Section section : block.section().subsections()) {
            if (block.blocks(section.name()).isEmpty()) {
                text.append(indent).append("# no block ").append(section.name()).append(": off\n");
            }
        }
        for (Block inner : block.children()) {
            text.append(String.format(
                    "%-50s # %s%n",
                    indent + inner.section().name()
                            + (inner.label() == null ? "" : " " + ValueType.quoteIfNeeded(inner.label())) + " {",
                    inner.location()));
            describe(inner, indent + "    ", text);
            text.append(indent).append("}\n");
        }
    }
}
