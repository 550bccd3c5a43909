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

/** The settings of a file, checked against {@link SettingsSchema} or another schema. */
public final class Settings {
    private final Block root;

    private Settings(Block root) {
        this.root = root;
    }

    /** Reads and checks a file; throws {@link InvalidSettingsException} with one line for the first fault. */
    public static Settings read(Path file) {
        return read(LineParser.parseFile(file), SettingsSchema.ROOT);
    }

    /** Checks a text as if it were in a file of that name. */
    public static Settings parse(String name, String text) {
        return read(LineParser.parseText(name, text), SettingsSchema.ROOT);
    }

    /** Reads and checks a file of the same syntax with another schema. */
    public static Settings read(Path file, Section table) {
        return read(LineParser.parseFile(file), table);
    }

    /** Checks a text against another schema, as if it were in a file of that name. */
    public static Settings parse(String name, String text, Section table) {
        return read(LineParser.parseText(name, text), table);
    }

    /** The defaults, which apply where there is no file. */
    public static Settings defaults() {
        return read(List.of(), SettingsSchema.ROOT);
    }

    static Settings read(List<LineParser.Line> lines, Section table) {
        Deque<Block> open = new ArrayDeque<>();
        open.push(new Block(table, null, SourceLocation.DEFAULT));
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

    private static Block openBlock(Block in, LineParser.Line line) {
        String name = line.words().get(0);
        Section section = in.section().findSection(name);
        if (section == null) {
            throw describeUnknown(in.section(), line);
        }
        List<String> rest = line.words().subList(1, line.words().size());
        String label = null;
        if (section.label() == null
                ? !rest.isEmpty()
                : rest.size() != 1 || (label = section.label().parse(rest.get(0))) == null) {
            throw InvalidSettingsException.invalidValue(
                    line.place(),
                    name,
                    String.join(" ", rest),
                    section.label() == null
                            ? "followed by { alone"
                            : section.label().expectation());
        }
        Block block = new Block(section, label, line.place());
        in.add(block);
        return block;
    }

    private static void setValue(Block in, LineParser.Line line) {
        String name = line.words().get(0);
        Keyword keyword = in.section().findKeyword(name);
        if (keyword == null) {
            throw describeUnknown(in.section(), line);
        }
        List<String> words = line.words().subList(1, line.words().size());
        in.set(keyword, new Block.Value(line.place(), words, keyword.parse(line.place(), words)));
    }

    private static void requireComplete(Block block) {
        for (Keyword keyword : block.section().keywords()) {
            if (keyword.isRequired() && !block.has(keyword.name())) {
                throw new InvalidSettingsException(
                        block.location(), block.section().name() + " lacks " + keyword.usage());
            }
        }
    }

    private static InvalidSettingsException describeUnknown(Section in, LineParser.Line line) {
        String word = line.words().get(0);
        String value = String.join(" ", line.words().subList(1, line.words().size()));
        boolean other = line.opens() ? in.findKeyword(word) != null : in.findSection(word) != null;
        if (other) {
            return InvalidSettingsException.invalidValue(
                    line.place(),
                    word,
                    value + (line.opens() ? " {" : ""),
                    line.opens() ? "on a line without {" : "a block, which opens with {");
        }
        String nearest = Stream.concat(
                        in.keywords().stream().map(Keyword::name),
                        in.subsections().stream().map(Section::name))
                .min(Comparator.comparingInt(
                        known -> LevenshteinDistance.getDefaultInstance().apply(word, known)))
                .orElse("none");
        return new InvalidSettingsException(
                line.place(),
                word + (value.isEmpty() ? "" : " (" + value + ")") + " is no keyword of " + in.name()
                        + "; the nearest is " + nearest);
    }

    /** The first block of this name in the file. */
    public Optional<Block> block(String name) {
        return root.block(name);
    }

    /** The keywords, with their blocks, that differ in {@code next} and that SIGHUP does not apply. */
    public List<String> keywordsRequiringRestart(Settings next) {
        List<String> names = new ArrayList<>();
        collectDifferences("", root, next.root, names);
        return names;
    }

    private static void collectDifferences(String path, Block mine, Block other, List<String> names) {
        for (Keyword keyword : mine.section().keywords()) {
            if (!keyword.isReloadable() && !wordsOf(mine, keyword).equals(wordsOf(other, keyword))) {
                names.add(path + keyword.name());
            }
        }
        for (Section section : mine.section().subsections()) {
            List<Block> before = mine.blocks(section.name());
            List<Block> after = other.blocks(section.name());
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

    /** All settings that apply, in the syntax of the file, each with its origin. */
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
        for (Block inner : block.inner()) {
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
