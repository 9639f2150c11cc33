package reedmux.simulation.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.replication.ConfigurationFollower;
import reedmux.control.replication.Replica;

/** What one change costs a store and a proxy, by how many items there are. */
final class ItemScenario {
    private static final int[] SIZES = {30, 100, 300, 1_000, 10_000, 100_000};
    private static final int ROUNDS = 41;
    private static final double MAX_POWER = 0.5;

    private ItemScenario() {}

    static ScenarioChecks run(Consumer<String> progress) {
        ScenarioChecks claims = new ScenarioChecks();
        double[] store = new double[SIZES.length];
        double[] proxy = new double[SIZES.length];
        for (int warm = 0; warm < 2; warm++) {
            for (int i = 0; i < SIZES.length; i++) {
                progress.accept(SIZES[i] + " items");
                double[] both = measure(SIZES[i]);
                store[i] = both[0];
                proxy[i] = both[1];
            }
        }
        for (int i = 0; i < SIZES.length; i++) {
            claims.record(
                    SIZES[i] + " items: a call at a store, judged, merged and told on, microseconds",
                    String.format(Locale.ROOT, "%.1f", store[i]));
            claims.record(
                    SIZES[i] + " items: the change at a proxy, microseconds",
                    String.format(Locale.ROOT, "%.1f", proxy[i]));
        }
        claim(claims, "power of a call at a store from 300 items on", growthPower(store));
        claim(claims, "power of a change at a proxy from 300 items on", growthPower(proxy));
        return claims;
    }

    private static void claim(ScenarioChecks claims, String what, double power) {
        claims.check(what, String.format(Locale.ROOT, "%.2f", power), "< " + MAX_POWER, power < MAX_POWER);
    }

    private static ConfigurationItem item(int number, long revision) {
        return switch (number % 10) {
            case 0 -> new ConfigurationItem("plants", "p" + number, revision, "{\"connCeiling\":" + revision + "}");
            case 1, 2, 3, 4 ->
                new ConfigurationItem(
                        "routes",
                        "r" + number,
                        revision,
                        "{\"host\":\"h" + number / 10
                                + ".example\",\"prefix\":\"/" + number + "\",\"kind\":\"idempotent\",\"plant\":\"p"
                                + number / 10 * 10 + "\",\"attempts\":" + revision + "}");
            default ->
                new ConfigurationItem(
                        "tenants",
                        "t" + number,
                        revision,
                        "{\"keys\":[\"k" + number + "\"],\"flowPerS\":" + revision + "}");
        };
    }

    /** The middle of some rounds, in microseconds: at a store, at a proxy. */
    private static double[] measure(int items) {
        List<ConfigurationItem> all = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            all.add(item(i, 1));
        }
        Replica replica = new Replica();
        replica.merge(all);
        ConfigurationFollower poll = new ConfigurationFollower();
        poll.onUpdate("a", 1, replica.lastChange(), all);
        replica.validate("", List.of(item(1, 2))); // the first reads all
        double[] store = new double[ROUNDS];
        double[] proxy = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            List<ConfigurationItem> call = List.of(item(i * 7 % items, i + 2));
            long from = replica.lastChange();
            long begin = System.nanoTime();
            boolean good = replica.validate("", call) == Replica.ValidationResult.VALID;
            replica.merge(call);
            List<ConfigurationItem> told = replica.committedSince(from);
            long between = System.nanoTime();
            boolean changed = poll.onUpdate("a", 1, replica.lastChange(), told);
            store[i] = (between - begin) / 1e3;
            proxy[i] = (System.nanoTime() - between) / 1e3;
            if (!good || !changed) {
                throw new IllegalStateException("round " + i + " of " + items + " items changed nothing");
            }
        }
        Arrays.sort(store);
        Arrays.sort(proxy);
        return new double[] {store[ROUNDS / 2], proxy[ROUNDS / 2]};
    }

    /** The power with which it grows, by least squares over logarithms. */
    private static double growthPower(double[] took) {
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        int from = 2;
        int many = SIZES.length - from;
        for (int i = from; i < SIZES.length; i++) {
            double size = Math.log(SIZES[i]);
            double time = Math.log(took[i]);
            x += size;
            y += time;
            xx += size * size;
            xy += size * time;
        }
        return (many * xy - x * y) / (many * xx - x * x);
    }
}
