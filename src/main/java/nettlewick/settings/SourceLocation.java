package nettlewick.settings;

/** Where a setting stands; {@code line} counts from 1, 0 for what stands in no file. */
public record SourceLocation(String file, int line) {
    /** The place of what nobody has set. */
    public static final SourceLocation DEFAULT = new SourceLocation("default", 0);

    @Override
    public String toString() {
        return line > 0 ? file + ":" + line : file;
    }
}
