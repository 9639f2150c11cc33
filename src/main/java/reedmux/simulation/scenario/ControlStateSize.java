package reedmux.simulation.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.ToLongFunction;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionChanges;
import reedmux.control.session.SessionTable;

/** What the state of the control side takes up in memory, and on its way to others, at growing sizes. */
final class ControlStateSize {
    private static final int[] SIZES = {1_000, 10_000, 100_000};
    private static final int MILLION = 1_000_000;

    private ControlStateSize() {}

    static void measure(ScenarioChecks claims) {
        recordHeap(claims, "heap of the checkers a registry knows", ControlStateSize::registryState, 140_000);
        recordHeap(claims, "heap of the checkers a proxy knows", ControlStateSize::proxyState, 140_000);
        recordHeap(claims, "heap of sessions and view", ControlStateSize::sessionState, 7_400);
        recordBytes(claims, "news of checkers, to a newcomer", ControlStateSize::instanceUpdateBytes, 140_000);
        recordBytes(claims, "news of sessions, to a newcomer", ControlStateSize::sessionUpdateBytes, 7_400);
    }

    private static InstanceIncarnation incarnation(int number) {
        return new InstanceIncarnation(
                "instance-" + number,
                "service-" + number % 3_600,
                "10." + number / 62_500 + '.' + number / 250 % 250 + '.' + number % 250 + ":8080",
                "zone-" + number % 11,
                4,
                InstanceIncarnation.READY,
                1_000 + number,
                0,
                false);
    }

    private static ProxySession session(int number) {
        return new ProxySession(
                "edge-" + number,
                "10.9." + number / 250 + '.' + number % 250,
                "zone-" + number % 11,
                number * 0x9E3779B97F4A7C15L);
    }

    private static Object registryState(int many) {
        InstanceDirectory fleet = new InstanceDirectory(1, new ChangeCounter());
        for (int i = 0; i < many; i++) {
            fleet.onHeartbeat(incarnation(i), 1);
        }
        return fleet;
    }

    private static Object proxyState(int many) {
        InstanceDirectory fleet = new InstanceDirectory();
        for (int i = 0; i < many; i++) {
            fleet.merge(incarnation(i), 1);
        }
        return fleet;
    }

    private static Object sessionState(int many) {
        SessionTable sessions = new SessionTable(1, new ChangeCounter());
        for (int i = 0; i < many; i++) {
            sessions.start(session(i));
        }
        sessions.recordViewChanges(1);
        return sessions;
    }

    private static long instanceUpdateBytes(int many) {
        List<InstanceIncarnation> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(incarnation(i));
        }
        return new MessageCodec()
                .encode(new Messages.MembershipUpdate(1, 1, all, List.of(), SessionChanges.NONE))
                .length;
    }

    private static long sessionUpdateBytes(int many) {
        List<ProxySession> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(session(i));
        }
        return new MessageCodec()
                .encode(new Messages.MembershipUpdate(
                        1, 1, List.of(), List.of(), new SessionChanges(true, all, List.of())))
                .length;
    }

    private static void recordHeap(ScenarioChecks claims, String what, IntFunction<Object> made, int target) {
        recordSizes(
                claims,
                what,
                many -> {
                    long before = usedHeapBytes();
                    Object kept = made.apply(many);
                    long after = usedHeapBytes();
                    return kept == null ? 0 : after - before;
                },
                target);
    }

    private static void recordBytes(ScenarioChecks claims, String what, ToLongFunction<Integer> of, int target) {
        recordSizes(claims, what, of, target);
    }

    private static void recordSizes(ScenarioChecks claims, String what, ToLongFunction<Integer> of, int target) {
        StringBuilder shown = new StringBuilder();
        double[] sizes = new double[SIZES.length];
        double[] values = new double[SIZES.length];
        for (int i = 0; i < SIZES.length; i++) {
            sizes[i] = SIZES[i];
            values[i] = of.applyAsLong(SIZES[i]);
            shown.append(String.format(Locale.ROOT, "%.3f ", values[i] / MILLION));
        }
        claims.record(
                what + ", MB at 1,000, 10,000, 100,000",
                String.format(
                        Locale.ROOT,
                        "%s ^%.2f; %.2f at %d",
                        shown,
                        CapacityScenario.growthPower(sizes, values),
                        of.applyAsLong(target) / (double) MILLION,
                        target));
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
