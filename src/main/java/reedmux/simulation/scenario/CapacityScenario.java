package reedmux.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import reedmux.simulation.cluster.GrowthExperiment;
import reedmux.simulation.cluster.GrowthExperiment.ClusterSize;
import reedmux.simulation.cluster.GrowthExperiment.GrowthRow;

/**
 * What the control side costs at growing sizes, the power of the size that it rises with, and where that
 * leads at the operators' size.
 */
public final class CapacityScenario {
    /** The operators' size. */
    static final ClusterSize TARGET = new ClusterSize(7_400, 22, 140_000);
    /** Above linear by no more than what a few sizes spread by. */
    private static final double MAX_POWER = 1.15;

    private static final int[] SIZES = {30, 100, 300, 1000};
    private static final int FEW_PROXIES = 30;
    private static final int FEW_CHECKERS = 60;
    private static final int CORES = 3;
    private static final int[] CORE_SIZES = {3, 6, 12, 22};
    private static final int CORE_PROXIES = 60;

    /** One thing that grows while the others stay. */
    private record GrowthAxis(String name, int target, List<ClusterSize> sizes, ToDoubleFunction<ClusterSize> of) {}

    private record GrowthMetric(String name, ToDoubleFunction<GrowthRow> of) {}

    private static final List<GrowthMetric> METRICS = List.of(
            new GrowthMetric("kB/s", GrowthRow::kilobytes),
            new GrowthMetric("messages/s", GrowthRow::messages),
            new GrowthMetric("events/s", GrowthRow::events),
            new GrowthMetric("CPU ms/s", GrowthRow::cpuMillis));

    private CapacityScenario() {}

    /** Plays all sizes up to one; rows, powers and charts go to {@code folder}, if there is one. */
    public static ScenarioChecks run(int most, Path folder, Consumer<String> progress) throws IOException {
        StringBuilder csv = new StringBuilder(
                "axis,size,proxies,cores,checkers,phase,role,kilobytes_s,messages_s,events_s,cpu_ms_s\n");
        ScenarioChecks claims = new ScenarioChecks();
        if (folder != null) {
            Files.createDirectories(folder);
        }
        for (GrowthAxis axis : axes(most)) {
            List<List<GrowthRow>> played = new ArrayList<>();
            for (ClusterSize size : axis.sizes) {
                long begin = System.nanoTime();
                List<GrowthRow> rows = GrowthExperiment.run(size);
                played.add(rows);
                progress.accept(String.format(
                        Locale.ROOT,
                        "%s %.0f: %.1f s",
                        axis.name,
                        axis.of.applyAsDouble(size),
                        (System.nanoTime() - begin) / 1e9));
                rows.forEach(row -> csv.append(csvLine(axis, row)));
            }
            recordGrowth(axis, played, claims);
            if (folder != null) {
                chart(axis, played, folder);
            }
        }
        ControlStateSize.measure(claims);
        if (folder != null) {
            Files.writeString(folder.resolve("capacity-rows.csv"), csv);
        }
        return claims;
    }

    /** Bytes against size, both as logarithms: a line for each role and phase. */
    private static void chart(GrowthAxis axis, List<List<GrowthRow>> played, Path folder) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(560)
                .title("kB/s of one machine by " + axis.name)
                .xAxisTitle(axis.name)
                .yAxisTitle("kB/s")
                .build();
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisLogarithmic(true);
        double[] sizes = axis.sizes.stream().mapToDouble(axis.of).toArray();
        for (int at = 0; at < played.get(0).size(); at++) {
            int row = at;
            GrowthRow first = played.get(0).get(row);
            List<List<GrowthRow>> having =
                    played.stream().filter(rows -> rows.size() > row).toList();
            chart.addSeries(
                    first.role() + ", " + first.phase(),
                    Arrays.copyOf(sizes, having.size()),
                    having.stream()
                            .mapToDouble(rows -> Math.max(1e-3, rows.get(row).kilobytes()))
                            .toArray());
        }
        BitmapEncoder.saveBitmap(
                chart,
                folder.resolve("capacity-" + axis.name.replace(' ', '-')).toString(),
                BitmapEncoder.BitmapFormat.PNG);
    }

    private static List<GrowthAxis> axes(int most) {
        List<ClusterSize> members = new ArrayList<>();
        List<ClusterSize> checkers = new ArrayList<>();
        for (int size : SIZES) {
            if (size <= most) {
                members.add(new ClusterSize(size, CORES, FEW_CHECKERS));
                checkers.add(new ClusterSize(FEW_PROXIES, CORES, size));
            }
        }
        List<ClusterSize> cores = new ArrayList<>();
        for (int size : CORE_SIZES) {
            cores.add(new ClusterSize(CORE_PROXIES, size, FEW_CHECKERS));
        }
        return List.of(
                new GrowthAxis("proxies", TARGET.proxies(), members, ClusterSize::proxies),
                new GrowthAxis("checkers", TARGET.checkers(), checkers, ClusterSize::checkers),
                new GrowthAxis("core machines", TARGET.cores(), cores, ClusterSize::cores));
    }

    private static String csvLine(GrowthAxis axis, GrowthRow row) {
        return String.format(
                Locale.ROOT,
                "%s,%.0f,%d,%d,%d,%s,%s,%.3f,%.2f,%.2f,%.3f%n",
                axis.name,
                axis.of.applyAsDouble(row.size()),
                row.size().proxies(),
                row.size().cores(),
                row.size().checkers(),
                row.phase(),
                row.role(),
                row.kilobytes(),
                row.messages(),
                row.events(),
                row.cpuMillis());
    }

    /** Notes each role's figures at each size, with the power of their growth and the value at the target. */
    private static void recordGrowth(GrowthAxis axis, List<List<GrowthRow>> all, ScenarioChecks claims) {
        for (int place = 0; place < all.get(0).size(); place++) {
            int at = place;
            List<List<GrowthRow>> played =
                    all.stream().filter(rows -> rows.size() > at).toList();
            GrowthRow first = played.get(0).get(at);
            for (GrowthMetric figure : METRICS) {
                double[] sizes = new double[played.size()];
                double[] values = new double[played.size()];
                StringBuilder shown = new StringBuilder();
                for (int i = 0; i < sizes.length; i++) {
                    sizes[i] = axis.of.applyAsDouble(axis.sizes.get(i));
                    values[i] = figure.of.applyAsDouble(played.get(i).get(at));
                    shown.append(String.format(Locale.ROOT, "%.4g ", values[i]));
                }
                double power = growthPower(sizes, values);
                String what = axis.name + ", " + first.phase() + ", " + first.role() + ", " + figure.name;
                String told = String.format(
                        Locale.ROOT, "%s ^%.2f -> %.4g", shown, power, extrapolate(axis.target, sizes, values, power));
                if (figure == METRICS.get(0) && !first.phase().equals("roll")) {
                    claims.check(what, told, "^" + MAX_POWER, power <= MAX_POWER);
                } else { // while all are restarted each is told of each: the square, for the registries
                    claims.record(what, told);
                }
            }
        }
    }

    /** Where it leads: along a line through the last two sizes, or by a power that is more than linear. */
    static double extrapolate(double target, double[] sizes, double[] values, double power) {
        int last = sizes.length - 1;
        if (last == 0 || power > MAX_POWER) {
            return values[last] * Math.pow(target / sizes[last], power);
        }
        double slope = (values[last] - values[last - 1]) / (sizes[last] - sizes[last - 1]);
        return Math.max(0, values[last] + slope * (target - sizes[last]));
    }

    /** The power of the size that values rise with: the slope of a line through their logarithms. */
    static double growthPower(double[] sizes, double[] values) {
        double meanX = 0;
        double meanY = 0;
        int many = sizes.length;
        for (int i = 0; i < many; i++) {
            meanX += Math.log(sizes[i]) / many;
            meanY += Math.log(Math.max(values[i], 1e-9)) / many;
        }
        double above = 0;
        double below = 0;
        for (int i = 0; i < many; i++) {
            double x = Math.log(sizes[i]) - meanX;
            above += x * (Math.log(Math.max(values[i], 1e-9)) - meanY);
            below += x * x;
        }
        return below == 0 ? 0 : above / below;
    }
}
