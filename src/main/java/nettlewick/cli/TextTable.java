package nettlewick.cli;

import java.util.ArrayList;
import java.util.List;

/** A plain-text table. Columns are as wide as their longest cell, and numeric columns are aligned right. */
final class TextTable {
    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headers) {
        rows.add(List.of(headers));
    }

    void addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell).replaceAll("[\\p{Cntrl}]", "?"));
        }
        rows.add(row);
    }

    boolean isEmpty() {
        return rows.size() == 1;
    }

    @Override
    public String toString() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        boolean[] numeric = new boolean[columns];
        for (int column = 0; column < columns; column++) {
            widths[column] = width(column);
            numeric[column] = isNumeric(column);
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                String cell = row.get(column);
                String padding = " ".repeat(widths[column] - length(cell));
                line.append(column == 0 ? "" : "  ").append(numeric[column] ? padding + cell : cell + padding);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> length(row.get(column))).max().orElse(0);
    }

    /** Whether there are rows besides the header and all of them hold numbers in this column. */
    private boolean isNumeric(int column) {
        return !isEmpty()
                && rows.stream().skip(1).allMatch(row -> row.get(column).matches("-?[0-9.]+"));
    }

    private static int length(String cell) {
        return cell.codePointCount(0, cell.length());
    }
}
