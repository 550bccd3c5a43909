package nettlewick.settings;

/**
 * Where a setting is defined.
 *
 * @param file the file name, or a description of another source
 * @param line the line number from 1; 0 if there is none
 */
public record SourceLocation(String file, int line) {
    /** The location of default values. */
    public static final SourceLocation DEFAULT = new SourceLocation("default", 0);

    @Override
    public String toString() {
        return line > 0 ? file + ":" + line : file;
    }
}
