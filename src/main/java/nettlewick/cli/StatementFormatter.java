package nettlewick.cli;

import java.math.BigDecimal;
import nettlewick.ledger.Statement;

/** Formats ledger statements as text tables. Stateless. */
final class StatementFormatter {
    private static final BigDecimal MICROS_PER_MILLI = BigDecimal.valueOf(1000);
    private static final int MILLIS_DECIMALS = 3;

    private StatementFormatter() {}

    /** Formats slot time in milliseconds with three decimals. */
    static String formatMillis(long micros) {
        return BigDecimal.valueOf(micros)
                .divide(MICROS_PER_MILLI)
                .setScale(MILLIS_DECIMALS)
                .toPlainString();
    }

    /**
     * Parses slot time in milliseconds.
     *
     * @return microseconds
     * @throws ArithmeticException   if there are more than three decimals, or the value overflows
     * @throws NumberFormatException if it is not a number
     */
    static long parseMillis(String millis) {
        return new BigDecimal(millis).multiply(MICROS_PER_MILLI).longValueExact();
    }

    /** Formats the statement of one period, followed by an empty line. */
    static String format(Statement statement) {
        StringBuilder text = new StringBuilder();
        text.append("period ").append(statement.period());
        if (statement.closed()) {
            text.append(", closed\n");
        } else {
            String openDispatchers = statement.open().isEmpty() ? "nobody" : String.join(", ", statement.open());
            text.append(", open at ").append(openDispatchers).append('\n');
        }
        text.append(usageTable(statement));
        appendUnlessEmpty(text, lateEntryTable(statement));
        appendUnlessEmpty(text, gapTable(statement));
        appendUnlessEmpty(text, voidedCorrectionTable(statement));
        return text.append("billed in all: ")
                .append(formatMillis(statement.billed()))
                .append(" slot-ms\n\n")
                .toString();
    }

    private static void appendUnlessEmpty(StringBuilder text, TextTable table) {
        if (!table.isEmpty()) {
            text.append('\n').append(table);
        }
    }

    private static TextTable usageTable(Statement statement) {
        TextTable table = new TextTable(
                "member",
                "class",
                "served",
                "refused",
                "failed",
                "left",
                "billed slot-ms",
                "estimated",
                "spare",
                "in doubt",
                "repeats");
        statement
                .rows()
                .forEach(row -> table.addRow(
                        row.tenant(),
                        row.requestClass(),
                        row.served(),
                        row.refused(),
                        row.failed(),
                        row.left(),
                        formatMillis(row.billed()),
                        formatMillis(row.estimated()),
                        formatMillis(row.spare()),
                        row.doubts(),
                        row.repeats()));
        return table;
    }

    private static TextTable lateEntryTable(Statement statement) {
        TextTable table = new TextTable("found after the close of", "member", "class", "entries", "slot-ms");
        statement
                .late()
                .forEach(late -> table.addRow(
                        late.closed(), late.tenant(), late.requestClass(), late.entries(), formatMillis(late.work())));
        return table;
    }

    private static TextTable gapTable(Statement statement) {
        TextTable table = new TextTable("gap", "from", "to", "jobs not entered");
        statement.gaps().forEach(gap -> table.addRow(gap.ref(), gap.from(), gap.to(), gap.jobs()));
        return table;
    }

    private static TextTable voidedCorrectionTable(Statement statement) {
        TextTable table = new TextTable("correction", "of", "does not count, since");
        statement.voided().forEach(correction -> table.addRow(correction.ref(), correction.target(), correction.why()));
        return table;
    }
}
