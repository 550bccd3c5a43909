package nettlewick.ledger;

import java.net.URI;
import java.nio.file.Path;
import nettlewick.settings.Block;

/**
 * Settings of one export. Exactly one of {@code folder} and {@code url} is set.
 *
 * @param maxBatchEntries  maximum number of entries of a batch
 * @param intervalMillis   time between rounds
 * @param timeoutMillis    time limit of one HTTP request
 * @param firstPauseMillis bound of the pause after the first failure
 * @param maxPauseMillis   maximum pause between attempts
 * @param maxAttempts      attempts to deliver a batch in one round
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
            throw export.invalidValue("folder", "set, or a url instead, but not both");
        }
        Block.Value retry = export.first("retry").orElseThrow();
        double first = retry.<Double>argument(0);
        double longest = retry.<Double>argument(1);
        if (first > longest) {
            throw export.invalidValue("retry", "a first pause no longer than the longest pause");
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
