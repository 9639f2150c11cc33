package reedmux.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.ToLongFunction;
import reedmux.fleet.Counter;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.link.Codec;
import reedmux.link.Messages;
import reedmux.member.Differences;
import reedmux.member.Session;
import reedmux.member.Sessions;

/** What the state of the control side takes up in memory, and on its way to others, at growing sizes. */
final class CapacityState {
    private static final int[] SIZES = {1_000, 10_000, 100_000};
    private static final int MILLION = 1_000_000;

    private CapacityState() {}

    static void measure(Claims claims) {
        heap(claims, "heap of the checkers a registry knows", CapacityState::registry, 140_000);
        heap(claims, "heap of the checkers a proxy knows", CapacityState::proxy, 140_000);
        heap(claims, "heap of sessions and view", CapacityState::sessions, 7_400);
        bytes(claims, "news of checkers, to a newcomer", CapacityState::lives, 140_000);
        bytes(claims, "news of sessions, to a newcomer", CapacityState::begun, 7_400);
    }

    private static Incarnation life(int number) {
        return new Incarnation(
                "instance-" + number,
                "service-" + number % 3_600,
                "10." + number / 62_500 + '.' + number / 250 % 250 + '.' + number % 250 + ":8080",
                "zone-" + number % 11,
                4,
                Incarnation.READY,
                1_000 + number,
                0,
                false);
    }

    private static Session session(int number) {
        return new Session(
                "edge-" + number,
                "10.9." + number / 250 + '.' + number % 250,
                "zone-" + number % 11,
                number * 0x9E3779B97F4A7C15L);
    }

    private static Object registry(int many) {
        Fleet fleet = new Fleet(1, new Counter());
        for (int i = 0; i < many; i++) {
            fleet.called(life(i), 1);
        }
        return fleet;
    }

    private static Object proxy(int many) {
        Fleet fleet = new Fleet();
        for (int i = 0; i < many; i++) {
            fleet.merge(life(i), 1);
        }
        return fleet;
    }

    private static Object sessions(int many) {
        Sessions sessions = new Sessions(1, new Counter());
        for (int i = 0; i < many; i++) {
            sessions.begin(session(i));
        }
        sessions.look(1);
        return sessions;
    }

    private static long lives(int many) {
        List<Incarnation> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(life(i));
        }
        return new Codec().write(new Messages.News(1, 1, all, List.of(), Differences.NONE)).length;
    }

    private static long begun(int many) {
        List<Session> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(session(i));
        }
        return new Codec()
                .write(new Messages.News(1, 1, List.of(), List.of(), new Differences(true, all, List.of())))
                .length;
    }

    private static void heap(Claims claims, String what, IntFunction<Object> made, int target) {
        note(
                claims,
                what,
                many -> {
                    long before = used();
                    Object kept = made.apply(many);
                    long after = used();
                    return kept == null ? 0 : after - before;
                },
                target);
    }

    private static void bytes(Claims claims, String what, ToLongFunction<Integer> of, int target) {
        note(claims, what, of, target);
    }

    private static void note(Claims claims, String what, ToLongFunction<Integer> of, int target) {
        StringBuilder shown = new StringBuilder();
        double[] sizes = new double[SIZES.length];
        double[] values = new double[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            sizes[i] = SIZES[i];
            values[i] = of.applyAsLong(SIZES[i]);
            shown.append(String.format(Locale.ROOT, "%.3f ", values[i] / MILLION));
        }
        claims.note(
                what + ", MB at 1,000, 10,000, 100,000",
                String.format(
                        Locale.ROOT,
                        "%s ^%.2f; %.2f at %d",
                        shown,
                        CapacityScene.power(sizes, values),
                        of.applyAsLong(target) / (double) MILLION,
                        target));
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
