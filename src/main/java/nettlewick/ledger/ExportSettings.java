package nettlewick.ledger;

import java.net.URI;
import java.nio.file.Path;
import nettlewick.settings.Block;

/**
 * One place where entries go; times in milliseconds. Either {@code folder} or {@code url} is null.
 */
public record ExportSettings(
        String name,
        Path folder,
        URI url,
        boolean csv,
        long maxBatchEntries,
        double intervalMillis,
        double timeoutMillis,
        double firstPauseMillis,
        double maxPauseMillis,
        int maxAttempts) {
    static ExportSettings of(Block export) {
        if (export.has("folder") == export.has("url")) {
            throw export.invalidValue("folder", "set, or a url in its place, and not both");
        }
        Block.Value retry = export.first("retry").orElseThrow();
        double first = retry.<Double>argument(0);
        double longest = retry.<Double>argument(1);
        if (first > longest) {
            throw export.invalidValue("retry", "a first pause no longer than the longest");
        }
        return new ExportSettings(
                export.label(),
                export.has("folder") ? export.get("folder") : null,
                export.has("url") ? export.get("url") : null,
                export.text("format").equals("csv"),
                export.wholeNumber("most"),
                export.durationMillis("every"),
                export.durationMillis("timeout"),
                first,
                longest,
                (int) export.wholeNumber("attempts"));
    }
}
