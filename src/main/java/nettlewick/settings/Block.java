package nettlewick.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/** A block of checked settings: its values have the types that its section gives them. */
public final class Block {
    /**
     * One line.
     *
     * @param place where it is
     * @param words as they are written, without the keyword
     * @param parts the value of each word
     */
    public record Value(SourceLocation location, List<String> words, List<Object> arguments) {
        /** The value of one word, counted from 0; the caller knows its type from the schema. */
        @SuppressWarnings("unchecked")
        public <T> T argument(int number) {
            return (T) arguments.get(number);
        }
    }

    private final Section section;
    private final String label;
    private final SourceLocation place;
    private final Map<String, List<Value>> values = new LinkedHashMap<>();
    private final List<Block> inner = new ArrayList<>();

    Block(Section section, String label, SourceLocation location) {
        this.section = section;
        this.label = label;
        this.place = location;
    }

    Section section() {
        return section;
    }

    /** The word after the block's name; null where it has none. */
    public String label() {
        return label;
    }

    /** Where the block starts. */
    public SourceLocation location() {
        return place;
    }

    void set(Keyword keyword, Value value) {
        List<Value> before = values.computeIfAbsent(keyword.name(), k -> new ArrayList<>());
        if (!before.isEmpty() && !keyword.isRepeatable()) {
            throw InvalidSettingsException.invalidValue(
                    value.location(),
                    keyword.name(),
                    String.join(" ", value.words()),
                    "set once only; it is set at " + before.get(0).location());
        }
        before.add(value);
    }

    void add(Block block) {
        for (Block other : inner) {
            if (other.section == block.section
                    && (!block.section.isRepeatable() || Objects.equals(other.label, block.label))) {
                throw InvalidSettingsException.invalidValue(
                        block.place,
                        block.section.name(),
                        block.label == null ? "a second block" : block.label,
                        "there once only; it is there at " + other.place);
            }
        }
        inner.add(block);
    }

    /** All values of a keyword, or its default; empty where there is neither. */
    public List<Value> all(String name) {
        Keyword keyword = section.findKeyword(name);
        if (keyword == null) {
            throw new IllegalStateException("no keyword " + name + " in " + section.name());
        }
        List<Value> set = values.get(name);
        if (set != null) {
            return List.copyOf(set);
        }
        if (keyword.defaultWords() == null) {
            return List.of();
        }
        List<String> words = List.of(keyword.defaultWords().split(" "));
        return List.of(new Value(SourceLocation.DEFAULT, words, keyword.parse(SourceLocation.DEFAULT, words)));
    }

    /** The first value of a keyword, or its default; empty where there is neither. */
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

    /** A text. Like the other accessors of one value, for keywords that are set or have a default only. */
    public String text(String name) {
        return required(name);
    }

    /** Whether the value is yes. */
    public boolean flag(String name) {
        return this.<Boolean>required(name);
    }

    /** A whole number or a size in bytes. */
    public long wholeNumber(String name) {
        return this.<Long>required(name);
    }

    /** A time span, in milliseconds. */
    public double durationMillis(String name) {
        return this.<Double>required(name);
    }

    /** An address and port. */
    public InetSocketAddress address(String name) {
        return required(name);
    }

    /** A value of any type; the caller knows it from the schema. */
    public <T> T get(String name) {
        return required(name);
    }

    /** The first block of this name in this one. */
    public Optional<Block> block(String name) {
        return inner.stream().filter(b -> b.section.name().equals(name)).findFirst();
    }

    /** All blocks of this name in this one. */
    public List<Block> blocks(String name) {
        return inner.stream().filter(b -> b.section.name().equals(name)).toList();
    }

    List<Block> inner() {
        return inner;
    }

    /** What was set in this block itself, as lines of a file. */
    public String toLines() {
        StringBuilder text = new StringBuilder();
        values.forEach((name, set) -> set.forEach(v -> text.append(name)
                .append(' ')
                .append(v.words().stream().map(ValueType::quoteIfNeeded).collect(Collectors.joining(" ")))
                .append('\n')));
        return text.toString();
    }

    /** The error for a value that only its user could check; {@code wanted} ends the sentence "... has to be". */
    public InvalidSettingsException invalidValue(String name, String expected) {
        Value value = first(name).orElse(null);
        return InvalidSettingsException.invalidValue(
                value == null ? place : value.location(),
                name,
                value == null ? "not set" : String.join(" ", value.words()),
                expected);
    }
}
