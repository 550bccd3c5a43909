package nettlewick.cli;

import java.util.ArrayList;
import java.util.List;

/** A table for people: columns as wide as need be, numbers to the right. */
final class TextTable {
    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... heads) {
        rows.add(List.of(heads));
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
        int[] width = new int[columns];
        boolean[] right = new boolean[columns];
        for (int c = 0; c < columns; c++) {
            right[c] = rows.size() > 1;
            for (int r = 0; r < rows.size(); r++) {
                String cell = rows.get(r).get(c);
                width[c] = Math.max(width[c], cell.codePointCount(0, cell.length()));
                right[c] &= r == 0 || cell.matches("-?[0-9.]+");
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int c = 0; c < columns; c++) {
                String cell = row.get(c);
                String pad = " ".repeat(width[c] - cell.codePointCount(0, cell.length()));
                line.append(c == 0 ? "" : "  ").append(right[c] ? pad + cell : cell + pad);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
