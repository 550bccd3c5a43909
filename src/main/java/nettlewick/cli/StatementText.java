package nettlewick.cli;

import java.math.BigDecimal;
import nettlewick.ledger.Statement;

/** The tables of a ledger statement, for people. Stateless. */
final class StatementText {
    private static final BigDecimal MICROS_PER_MILLI = BigDecimal.valueOf(1000);
    private static final int MILLIS_DECIMALS = 3;

    private StatementText() {}

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
     * @throws ArithmeticException   if there are more than three decimals, or too many digits
     * @throws NumberFormatException if it is no number
     */
    static long parseMillis(String millis) {
        return new BigDecimal(millis).multiply(MICROS_PER_MILLI).longValueExact();
    }

    /** The statement of one period, with an empty line after it. */
    static String of(Statement statement) {
        StringBuilder text = new StringBuilder();
        text.append("period ").append(statement.period());
        if (statement.closed()) {
            text.append(", closed\n");
        } else {
            String open = statement.open().isEmpty() ? "nobody" : String.join(", ", statement.open());
            text.append(", open at ").append(open).append('\n');
        }
        text.append(usage(statement));
        appendUnlessEmpty(text, lateEntries(statement));
        appendUnlessEmpty(text, gaps(statement));
        appendUnlessEmpty(text, voidedCorrections(statement));
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

    private static TextTable usage(Statement statement) {
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
                .forEach(r -> table.addRow(
                        r.tenant(),
                        r.requestClass(),
                        r.served(),
                        r.refused(),
                        r.failed(),
                        r.left(),
                        formatMillis(r.billed()),
                        formatMillis(r.estimated()),
                        formatMillis(r.spare()),
                        r.doubts(),
                        r.repeats()));
        return table;
    }

    private static TextTable lateEntries(Statement statement) {
        TextTable table = new TextTable("found after the close of", "member", "class", "entries", "slot-ms");
        statement
                .late()
                .forEach(l ->
                        table.addRow(l.closed(), l.tenant(), l.requestClass(), l.entries(), formatMillis(l.work())));
        return table;
    }

    private static TextTable gaps(Statement statement) {
        TextTable table = new TextTable("gap", "from", "to", "jobs not entered");
        statement.gaps().forEach(g -> table.addRow(g.ref(), g.from(), g.to(), g.jobs()));
        return table;
    }

    private static TextTable voidedCorrections(Statement statement) {
        TextTable table = new TextTable("correction", "of", "does not count, since");
        statement.voided().forEach(v -> table.addRow(v.ref(), v.target(), v.why()));
        return table;
    }
}
