package reedmux.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import reedmux.item.Item;
import reedmux.item.Poll;
import reedmux.item.Replica;

/** What one change costs a store and a proxy, by how many items there are. */
final class ItemScene {
    private static final int[] SIZES = {30, 100, 300, 1_000, 10_000, 100_000};
    private static final int ROUNDS = 41;
    private static final double MOST_POWER = 0.5;

    private ItemScene() {}

    static Claims run(Consumer<String> progress) {
        Claims claims = new Claims();
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
            claims.note(
                    SIZES[i] + " items: a call at a store, judged, merged and told on, microseconds",
                    String.format(Locale.ROOT, "%.1f", store[i]));
            claims.note(
                    SIZES[i] + " items: the change at a proxy, microseconds",
                    String.format(Locale.ROOT, "%.1f", proxy[i]));
        }
        claim(claims, "power of a call at a store from 300 items on", power(store));
        claim(claims, "power of a change at a proxy from 300 items on", power(proxy));
        return claims;
    }

    private static void claim(Claims claims, String what, double power) {
        claims.claim(what, String.format(Locale.ROOT, "%.2f", power), "< " + MOST_POWER, power < MOST_POWER);
    }

    private static Item item(int number, long revision) {
        return switch (number % 10) {
            case 0 -> new Item("plants", "p" + number, revision, "{\"connCeiling\":" + revision + "}");
            case 1, 2, 3, 4 ->
                new Item(
                        "routes",
                        "r" + number,
                        revision,
                        "{\"host\":\"h" + number / 10
                                + ".example\",\"prefix\":\"/" + number + "\",\"kind\":\"idempotent\",\"plant\":\"p"
                                + number / 10 * 10 + "\",\"attempts\":" + revision + "}");
            default ->
                new Item(
                        "tenants",
                        "t" + number,
                        revision,
                        "{\"keys\":[\"k" + number + "\"],\"flowPerS\":" + revision + "}");
        };
    }

    /** The middle of some rounds, in microseconds: at a store, at a proxy. */
    private static double[] measure(int items) {
        List<Item> all = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            all.add(item(i, 1));
        }
        Replica replica = new Replica();
        replica.merge(all);
        Poll poll = new Poll();
        poll.take("a", 1, replica.changes(), all);
        replica.judge("", List.of(item(1, 2))); // the first reads all
        double[] store = new double[ROUNDS];
        double[] proxy = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            List<Item> call = List.of(item(i * 7 % items, i + 2));
            long from = replica.changes();
            long begin = System.nanoTime();
            boolean good = replica.judge("", call) == Replica.Verdict.GOOD;
            replica.merge(call);
            List<Item> told = replica.since(from);
            long between = System.nanoTime();
            boolean changed = poll.take("a", 1, replica.changes(), told);
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
    private static double power(double[] took) {
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
