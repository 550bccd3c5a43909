package nettlewick.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/** A block of validated settings, whose values have the types that its {@link Section} defines. */
public final class Block {
    /**
     * The arguments of a keyword on one line.
     *
     * @param location  where the line is
     * @param words     the arguments as written, without the keyword
     * @param arguments the parsed arguments, one for each word
     */
    public record Value(SourceLocation location, List<String> words, List<Object> arguments) {
        /** The parsed argument at an index from 0; the caller knows its type from the schema. */
        @SuppressWarnings("unchecked")
        public <T> T argument(int index) {
            return (T) arguments.get(index);
        }
    }

    private final Section section;
    private final String label;
    private final SourceLocation location;
    private final Map<String, List<Value>> values = new LinkedHashMap<>();
    private final List<Block> children = new ArrayList<>();

    Block(Section section, String label, SourceLocation location) {
        this.section = section;
        this.label = label;
        this.location = location;
    }

    Section section() {
        return section;
    }

    /** The word after the block's name, or null. */
    public String label() {
        return label;
    }

    /** Where the block starts. */
    public SourceLocation location() {
        return location;
    }

    void set(Keyword keyword, Value value) {
        List<Value> previous = values.computeIfAbsent(keyword.name(), k -> new ArrayList<>());
        if (!previous.isEmpty() && !keyword.isRepeatable()) {
            throw InvalidSettingsException.invalidValue(
                    value.location(),
                    keyword.name(),
                    String.join(" ", value.words()),
                    "set only once; it is already set at " + previous.get(0).location());
        }
        previous.add(value);
    }

    void add(Block block) {
        for (Block other : children) {
            if (other.section == block.section
                    && (!block.section.isRepeatable() || Objects.equals(other.label, block.label))) {
                throw InvalidSettingsException.invalidValue(
                        block.location,
                        block.section.name(),
                        block.label == null ? "a second block" : block.label,
                        "unique; the first one is at " + other.location);
            }
        }
        children.add(block);
    }

    /** All values of a keyword, or its default; empty if it is not set and has no default. */
    public List<Value> all(String name) {
        Keyword keyword = section.findKeyword(name);
        if (keyword == null) {
            throw new IllegalStateException("no keyword " + name + " in section " + section.name());
        }
        List<Value> configured = values.get(name);
        if (configured != null) {
            return List.copyOf(configured);
        }
        if (keyword.defaultWords() == null) {
            return List.of();
        }
        List<String> words = List.of(keyword.defaultWords().split(" "));
        return List.of(new Value(SourceLocation.DEFAULT, words, keyword.parse(SourceLocation.DEFAULT, words)));
    }

    /** The first value of a keyword, or its default; empty if it is not set and has no default. */
    public Optional<Value> first(String name) {
        return all(name).stream().findFirst();
    }

    private <T> T required(String name) {
        return first(name)
                .orElseThrow(() -> new IllegalStateException(name + " is not set"))
                .argument(0);
    }

    /** Whether a keyword is set or has a default. */
    public boolean has(String name) {
        return !all(name).isEmpty();
    }

    /** A string. Like the other accessors of one value, only for keywords that are set or have a default. */
    public String text(String name) {
        return required(name);
    }

    /** Whether the value is {@code yes}. */
    public boolean flag(String name) {
        return this.<Boolean>required(name);
    }

    /** An integer or a size in bytes. */
    public long wholeNumber(String name) {
        return this.<Long>required(name);
    }

    /** A duration in milliseconds. */
    public double durationMillis(String name) {
        return this.<Double>required(name);
    }

    /** An IP address and port. */
    public InetSocketAddress address(String name) {
        return required(name);
    }

    /** A value of any type; the caller knows the type from the schema. */
    public <T> T get(String name) {
        return required(name);
    }

    /** The first nested block with this name. */
    public Optional<Block> block(String name) {
        return children.stream().filter(b -> b.section.name().equals(name)).findFirst();
    }

    /** All nested blocks with this name. */
    public List<Block> blocks(String name) {
        return children.stream().filter(b -> b.section.name().equals(name)).toList();
    }

    List<Block> children() {
        return children;
    }

    /** The keywords set in this block, without nested blocks, as lines of a settings file. */
    public String toLines() {
        StringBuilder text = new StringBuilder();
        values.forEach((name, configured) -> configured.forEach(v -> text.append(name)
                .append(' ')
                .append(v.words().stream().map(ValueType::quoteIfNeeded).collect(Collectors.joining(" ")))
                .append('\n')));
        return text.toString();
    }

    /** The error for a value that its user found invalid; {@code expected} completes "NAME is VALUE, but has to be". */
    public InvalidSettingsException invalidValue(String name, String expected) {
        Value value = first(name).orElse(null);
        return InvalidSettingsException.invalidValue(
                value == null ? location : value.location(),
                name,
                value == null ? "not set" : String.join(" ", value.words()),
                expected);
    }
}
