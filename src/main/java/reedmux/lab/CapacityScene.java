package reedmux.lab;

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
import reedmux.lab.world.Growth;
import reedmux.lab.world.Growth.Row;
import reedmux.lab.world.Growth.Size;

/**
 * What the control side costs at growing sizes, the power of the size that it rises with, and where that
 * leads at the operators' size.
 */
public final class CapacityScene {
    /** The operators' size. */
    static final Size TARGET = new Size(7_400, 22, 140_000);
    /** Above linear by no more than what a few sizes spread by. */
    private static final double MOST_POWER = 1.15;

    private static final int[] SIZES = {30, 100, 300, 1000};
    private static final int FEW_PROXIES = 30;
    private static final int FEW_CHECKERS = 60;
    private static final int CORES = 3;
    private static final int[] CORE_SIZES = {3, 6, 12, 22};
    private static final int CORE_PROXIES = 60;

    /** One thing that grows while the others stay. */
    private record Axis(String name, int target, List<Size> sizes, ToDoubleFunction<Size> of) {}

    private record Figure(String name, ToDoubleFunction<Row> of) {}

    private static final List<Figure> FIGURES = List.of(
            new Figure("kB/s", Row::kilobytes),
            new Figure("messages/s", Row::messages),
            new Figure("events/s", Row::events),
            new Figure("CPU ms/s", Row::cpuMillis));

    private CapacityScene() {}

    /** Plays all sizes up to one; rows, powers and charts go to {@code folder}, if there is one. */
    public static Claims run(int most, Path folder, Consumer<String> progress) throws IOException {
        StringBuilder csv = new StringBuilder(
                "axis,size,proxies,cores,checkers,phase,role,kilobytes_s,messages_s,events_s,cpu_ms_s\n");
        Claims claims = new Claims();
        if (folder != null) {
            Files.createDirectories(folder);
        }
        for (Axis axis : axes(most)) {
            List<List<Row>> played = new ArrayList<>();
            for (Size size : axis.sizes) {
                long begin = System.nanoTime();
                List<Row> rows = Growth.play(size);
                played.add(rows);
                progress.accept(String.format(
                        Locale.ROOT,
                        "%s %.0f: %.1f s",
                        axis.name,
                        axis.of.applyAsDouble(size),
                        (System.nanoTime() - begin) / 1e9));
                rows.forEach(row -> csv.append(line(axis, row)));
            }
            fit(axis, played, claims);
            if (folder != null) {
                chart(axis, played, folder);
            }
        }
        CapacityState.measure(claims);
        if (folder != null) {
            Files.writeString(folder.resolve("capacity-rows.csv"), csv);
        }
        return claims;
    }

    /** Bytes against size, both as logarithms: a line for each role and phase. */
    private static void chart(Axis axis, List<List<Row>> played, Path folder) throws IOException {
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
            Row first = played.get(0).get(row);
            List<List<Row>> having =
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

    private static List<Axis> axes(int most) {
        List<Size> members = new ArrayList<>();
        List<Size> checkers = new ArrayList<>();
        for (int size : SIZES) {
            if (size <= most) {
                members.add(new Size(size, CORES, FEW_CHECKERS));
                checkers.add(new Size(FEW_PROXIES, CORES, size));
            }
        }
        List<Size> cores = new ArrayList<>();
        for (int size : CORE_SIZES) {
            cores.add(new Size(CORE_PROXIES, size, FEW_CHECKERS));
        }
        return List.of(
                new Axis("proxies", TARGET.proxies(), members, Size::proxies),
                new Axis("checkers", TARGET.checkers(), checkers, Size::checkers),
                new Axis("core machines", TARGET.cores(), cores, Size::cores));
    }

    private static String line(Axis axis, Row row) {
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
    private static void fit(Axis axis, List<List<Row>> all, Claims claims) {
        for (int place = 0; place < all.get(0).size(); place++) {
            int at = place;
            List<List<Row>> played =
                    all.stream().filter(rows -> rows.size() > at).toList();
            Row first = played.get(0).get(at);
            for (Figure figure : FIGURES) {
                double[] sizes = new double[played.size()];
                double[] values = new double[played.size()];
                StringBuilder shown = new StringBuilder();
                for (int i = 0; i < sizes.length; i++) {
                    sizes[i] = axis.of.applyAsDouble(axis.sizes.get(i));
                    values[i] = figure.of.applyAsDouble(played.get(i).get(at));
                    shown.append(String.format(Locale.ROOT, "%.4g ", values[i]));
                }
                double power = power(sizes, values);
                String what = axis.name + ", " + first.phase() + ", " + first.role() + ", " + figure.name;
                String told = String.format(
                        Locale.ROOT, "%s ^%.2f -> %.4g", shown, power, at(axis.target, sizes, values, power));
                if (figure == FIGURES.get(0) && !first.phase().equals("roll")) {
                    claims.claim(what, told, "^" + MOST_POWER, power <= MOST_POWER);
                } else { // while all are restarted each is told of each: the square, for the registries
                    claims.note(what, told);
                }
            }
        }
    }

    /** Where it leads: along a line through the last two sizes, or by a power that is more than linear. */
    static double at(double target, double[] sizes, double[] values, double power) {
        int last = sizes.length - 1;
        if (last == 0 || power > MOST_POWER) {
            return values[last] * Math.pow(target / sizes[last], power);
        }
        double slope = (values[last] - values[last - 1]) / (sizes[last] - sizes[last - 1]);
        return Math.max(0, values[last] + slope * (target - sizes[last]));
    }

    /** The power of the size that values rise with: the slope of a line through their logarithms. */
    static double power(double[] sizes, double[] values) {
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
