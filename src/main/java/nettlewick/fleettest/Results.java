package nettlewick.fleettest;

import java.awt.Color;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes, reads and compares the result folders of runs. */
final class Results {
    private static final String FIGURES_FILE = "figures.csv";
    private static final int WIDTH_PIXELS = 1200;
    private static final int HEIGHT_PIXELS = 600;
    private static final double SECOND_MILLIS = 1000;

    /** Cumulative counts at the end of a second. */
    record Second(double at, int ready, int sent, int inTime, int late, int rejections, int openRequests) {}

    private Results() {}

    /**
     * Writes all files of a run.
     *
     * @return why the charts could not be drawn; null if they were
     */
    static String write(
            Path folder,
            Map<String, Double> figures,
            List<String> violations,
            LoadBalanceStats loadStats,
            Histogram latency,
            List<Second> seconds)
            throws IOException {
        Files.createDirectories(folder);
        try (CSVPrinter csv = csv(folder.resolve(FIGURES_FILE))) {
            csv.printRecord("name", "value");
            for (Map.Entry<String, Double> f : figures.entrySet()) {
                csv.printRecord(f.getKey(), formatNumber(f.getValue()));
            }
        }
        try (CSVPrinter csv = csv(folder.resolve("seconds.csv"))) {
            csv.printRecord("at_ms", "ready", "asked", "in_time", "late", "refusals", "open");
            for (Second s : seconds) {
                csv.printRecord(s.at(), s.ready(), s.sent(), s.inTime(), s.late(), s.rejections(), s.openRequests());
            }
        }
        try (CSVPrinter csv = csv(folder.resolve("loads.csv"))) {
            csv.printRecord("at_ms", "load of each runner over its slots");
            for (LoadBalanceStats.Sample s : loadStats.samples()) {
                csv.print(Math.round(s.at()));
                for (double load : s.loads()) {
                    csv.print(formatNumber(load));
                }
                csv.println();
            }
        }
        Files.write(folder.resolve("breaks.txt"), violations);
        writeHistogram(folder.resolve("latency.hlog"), latency);
        writeHistogram(folder.resolve("loads.hlog"), loadStats.loads());
        try {
            drawCharts(folder, loadStats, seconds);
            return null;
        } catch (IOException | RuntimeException | LinkageError | InternalError e) {
            return "charts were not drawn, this machine cannot render text: " + e;
        }
    }

    private static CSVPrinter csv(Path file) throws IOException {
        return new CSVPrinter(
                Files.newBufferedWriter(file),
                CSVFormat.DEFAULT.builder().setRecordSeparator('\n').get());
    }

    private static void writeHistogram(Path file, Histogram h) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(file))) {
            HistogramLogWriter log = new HistogramLogWriter(out);
            log.outputLogFormatVersion();
            log.outputLegend();
            log.outputIntervalHistogram(h);
        }
    }

    private static void drawCharts(Path folder, LoadBalanceStats loadStats, List<Second> seconds) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection loads = new XYSeriesCollection();
        List<LoadBalanceStats.Sample> samples = loadStats.samples();
        int endpointCount =
                samples.stream().mapToInt(s -> s.loads().length).max().orElse(0);
        for (int r = 0; r < endpointCount; r++) {
            XYSeries line = new XYSeries("s" + r);
            for (LoadBalanceStats.Sample s : samples) {
                line.add(s.at() / SECOND_MILLIS, r < s.loads().length ? s.loads()[r] : Double.NaN);
            }
            loads.addSeries(line);
        }
        draw(folder.resolve("load.png"), "Load of each endpoint", "requests in flight per slot", loads, false);
        Map<String, XYSeries> rates = new LinkedHashMap<>();
        Second previous = new Second(0, 0, 0, 0, 0, 0, 0);
        for (Second s : seconds) {
            double span = Math.max(1, s.at() - previous.at()) / SECOND_MILLIS;
            addRate(rates, "asked", s.at(), (s.sent() - previous.sent()) / span);
            addRate(rates, "in time", s.at(), (s.inTime() - previous.inTime()) / span);
            addRate(rates, "late", s.at(), (s.late() - previous.late()) / span);
            addRate(rates, "refusals", s.at(), (s.rejections() - previous.rejections()) / span);
            previous = s;
        }
        XYSeriesCollection answers = new XYSeriesCollection();
        rates.values().forEach(answers::addSeries);
        draw(folder.resolve("answers.png"), "Answers", "a second", answers, true);
    }

    private static void addRate(Map<String, XYSeries> rates, String name, double at, double value) {
        rates.computeIfAbsent(name, XYSeries::new).add(at / SECOND_MILLIS, value);
    }

    private static void draw(Path file, String title, String axis, XYSeriesCollection data, boolean legend)
            throws IOException {
        JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds", axis, data);
        if (!legend) {
            chart.removeLegend();
        }
        chart.getXYPlot().setBackgroundPaint(Color.WHITE);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }

    /** Formats a figure without needless decimals; empty for NaN. */
    static String formatNumber(double value) {
        return Double.isNaN(value)
                ? ""
                : value == Math.rint(value) && Math.abs(value) < 1e12
                        ? Long.toString((long) value)
                        : String.format(java.util.Locale.ROOT, "%.4f", value);
    }

    /** Reads the figures of a result folder. */
    static Map<String, Double> read(Path folder) throws IOException {
        Map<String, Double> figures = new LinkedHashMap<>();
        try (Reader in = Files.newBufferedReader(folder.resolve(FIGURES_FILE))) {
            for (CSVRecord row : CSVFormat.DEFAULT
                    .builder()
                    .setHeader()
                    .setSkipHeaderRecord(true)
                    .get()
                    .parse(in)) {
                figures.put(row.get("name"), Double.valueOf(row.get("value")));
            }
        }
        return figures;
    }

    /** Writes the figures of two runs side by side, one figure per line. */
    static void compare(Path a, Path b, Appendable out) throws IOException {
        Map<String, Double> first = read(a);
        Map<String, Double> second = read(b);
        out.append(String.format("%-24s %14s %14s %10s%n", "", a.getFileName(), b.getFileName(), "ratio"));
        List<String> names = new ArrayList<>(first.keySet());
        new TreeSet<>(second.keySet())
                .stream().filter(n -> !first.containsKey(n)).forEach(names::add);
        for (String name : names) {
            double x = first.getOrDefault(name, Double.NaN);
            double y = second.getOrDefault(name, Double.NaN);
            out.append(String.format(
                    "%-24s %14s %14s %10s%n",
                    name,
                    formatNumber(x),
                    formatNumber(y),
                    x == 0 || Double.isNaN(x) || Double.isNaN(y)
                            ? ""
                            : String.format(java.util.Locale.ROOT, "%.2f", y / x)));
        }
    }

    /** Returns whether a folder contains the results of a run. */
    static boolean containsRun(Path folder) {
        return Files.isRegularFile(folder.resolve(FIGURES_FILE));
    }

    /** Writes a text file into a result folder. */
    static void writeText(Path folder, String name, String text) throws IOException {
        Files.createDirectories(folder);
        try (Writer out = Files.newBufferedWriter(folder.resolve(name))) {
            out.write(text);
        }
    }
}
