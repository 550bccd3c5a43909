package nettlewick.settings;

/**
 * Where a setting comes from.
 *
 * @param file the file's name, or what stands for it
 * @param line counts from 1; 0 where there is no line
 */
public record SourceLocation(String file, int line) {
    /** Of settings that are not set and have a default. */
    public static final SourceLocation DEFAULT = new SourceLocation("default", 0);

    @Override
    public String toString() {
        return line > 0 ? file + ":" + line : file;
    }
}
