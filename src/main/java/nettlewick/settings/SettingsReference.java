package nettlewick.settings;

/** Generates the settings reference from the schema that validates the settings. */
public final class SettingsReference {
    private SettingsReference() {}

    /** The settings reference in Markdown. */
    public static String toMarkdown() {
        StringBuilder page = new StringBuilder("""
                # Settings

                Made by `nettlewick settings reference` from the table that checks them; a test compares the
                two.

                `serve --settings FILE` reads one file: a keyword and its values a line, `#` for comments,
                values with spaces in double quotes (`\\"`, `\\\\`, `\\n` and `\\t` inside), `include FILE`
                (beside the file that says so), blocks from `NAME {` to a `}` alone. Spans carry a unit
                (`250ms`, `15s`, `10m`, `24h`, `7d`), sizes may (`64k`, `16m`, `2g`). A block that is not
                there leaves its subsystem off. `nettlewick settings check FILE` says whether a file is in
                order, `nettlewick settings show FILE` prints what is in force and where each value comes
                from. SIGHUP reads the file again and takes all of it or nothing; what only a restart
                changes is named in the log.
                """);
        appendSection(SettingsSchema.ROOT, "", page);
        return page.toString();
    }

    private static void appendSection(Section section, String path, StringBuilder page) {
        if (!section.keywords().isEmpty()) {
            page.append("\n| keyword | unless set | SIGHUP | meaning |\n| --- | --- | --- | --- |\n");
        }
        for (Keyword keyword : section.keywords()) {
            page.append("| `")
                    .append(keyword.usage().replace("|", "\\|"))
                    .append("` | ")
                    .append(
                            keyword.isRequired()
                                    ? "has to be set"
                                    : keyword.defaultWords() == null ? "nothing" : "`" + keyword.defaultWords() + "`")
                    .append(" | ")
                    .append(keyword.isReloadable() ? "yes" : "restart")
                    .append(" | ")
                    .append(keyword.description())
                    .append(keyword.isRepeatable() ? " May stand more than once." : "")
                    .append(" |\n");
        }
        for (Section subsection : section.subsections()) {
            String name = path + subsection.name();
            page.append("\n## `")
                    .append(name)
                    .append(
                            subsection.label() == null
                                    ? ""
                                    : " " + subsection.label().name())
                    .append("`\n\n")
                    .append(subsection.description())
                    .append('\n');
            appendSection(subsection, name + " ", page);
        }
    }
}
