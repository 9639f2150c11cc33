package reedmux.proxy.quota;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import reedmux.control.configuration.TenantItem;

/**
 * Seen: on a fleet of 75 proxies as real processes, customers got more than their limits in most runs: 188 requests in
 * five seconds where 158 were allowed, 128 where 109 were.
 *
 * <p>How it came about: proxies were restarted in series while a customer sent many times its usual, on machines that
 * gave each process a part of a processor, so that everything was late by some tenths of a second.
 *
 * <p>Cause: each proxy admitted what fitted into its own count, however late that was, and with no bound on what it
 * admitted before the others knew. And units went along the heap of the sender's view only where the receiver had the
 * same view: while proxies heard of a restart at different times, units were counted by the next proxy and went no
 * further, and nobody told them again.
 *
 * <p>What proved it: here, with views that all hear of at once, the customer stays within its limit; with the same
 * views within 0.4 s it had 1.5 times of it, whether a process was restarted or only its session came and went. With
 * views that stay, pauses of up to 0.3 s alone gave 1.15 times. Of real processes, a fleet that was only busy kept the
 * limits, and broke them once each proxy stood still for a part of every tenth of a second.
 */
public class QuotaFleetTest {
    private static final int MEMBERS = 75;
    private static final int CLIENTS = 12;
    private static final double USUAL_DEMAND_FRACTION = 1 / 1.6;
    private static final double SURGE_FACTOR = 7.5;
    private static final long VIEW_DELAY_MICROS = 400_000;
    private static final int RESTARTS = 6;
    private static final int SEEDS = 4;

    /** A fleet, and a customer with a limit of so many requests a second and at once. */
    private static final class Fleet {
        private final Random random;
        private final double rate;
        private final QuotaCluster cluster;

        private Fleet(double rate, long pauseMicros, long seed) {
            this.rate = rate;
            random = new Random(seed);
            cluster = new QuotaCluster(new TenantItem("t", List.of("k"), 0, rate, rate), MEMBERS, 0.01, seed);
            cluster.maxPauseMicros = pauseMicros;
            cluster.clientMembers = random.ints(CLIENTS, 0, MEMBERS).toArray();
            cluster.run(4, usualDemand());
        }

        private double usualDemand() {
            return rate * USUAL_DEMAND_FRACTION;
        }

        private double surgeDemand() {
            return usualDemand() * SURGE_FACTOR;
        }

        /** Clients come to all members from now on. */
        private void spreadClients() {
            cluster.clientMembers = null;
        }

        private void restartInSeries(double demand) {
            cluster.maxViewDelayMicros = VIEW_DELAY_MICROS;
            for (int i = 0; i < RESTARTS; i++) {
                cluster.restart(random.nextInt(MEMBERS), 0.8, demand);
                cluster.run(0.4, demand);
            }
        }

        /** Five restarts a second of any members, which take over a second to begin. */
        private void restartManyWithSlowStart() {
            cluster.maxViewDelayMicros = VIEW_DELAY_MICROS;
            for (int i = 0; i < 7 * RESTARTS; i++) {
                cluster.beginRestart(random.nextInt(MEMBERS), 1.2 + random.nextDouble());
                cluster.run(0.2, surgeDemand());
            }
        }

        /** Eight restarts a second, before and in the surge; each takes about a second. */
        private void restartEightPerSecond(long viewDelayMicros) {
            cluster.maxViewDelayMicros = viewDelayMicros;
            for (int i = 0; i < 80; i++) {
                cluster.beginRestart(random.nextInt(MEMBERS), 0.5 + 1.2 * random.nextDouble());
                cluster.run(0.125, i < 24 ? usualDemand() : surgeDemand());
            }
        }

        private double maxFractionOfLimit() {
            return cluster.maxAdmittedInFiveSeconds() / QuotaCluster.maxAdmitted(rate, rate);
        }
    }

    /** What is tried with each fleet. */
    private interface Scenario {
        void run(Fleet fleet);
    }

    private static void assertQuotaHolds(long pauseMicros, Scenario course) {
        StringBuilder violations = new StringBuilder();
        for (double rate : new double[] {5, 15, 40, 150}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Fleet fleet = new Fleet(rate, pauseMicros, seed);
                if (seed % 2 == 1) {
                    fleet.spreadClients();
                }
                course.run(fleet);
                if (fleet.maxFractionOfLimit() > 1) {
                    violations.append(String.format(
                            "rate %.0f, pauses of %d ms, seed %d: %.2f of its quota%n",
                            rate, pauseMicros / 1000, seed, fleet.maxFractionOfLimit()));
                }
            }
        }
        assertTrue(violations.isEmpty(), violations.toString());
    }

    @Test
    public void quotaHoldsWhileMembersLearnOfRestartsAtDifferentTimes() {
        assertQuotaHolds(0, fleet -> fleet.restartInSeries(fleet.surgeDemand()));
    }

    @Test
    public void quotaHoldsWhileMembersPauseRepeatedly() {
        for (long pause : new long[] {30_000, 100_000, 300_000}) {
            assertQuotaHolds(pause, fleet -> fleet.cluster.run(7, fleet.surgeDemand()));
        }
    }

    @Test
    public void quotaHoldsDuringRestartsWithPauses() {
        for (long pause : new long[] {30_000, 100_000, 300_000}) {
            assertQuotaHolds(pause, fleet -> fleet.restartInSeries(fleet.surgeDemand()));
        }
    }

    /**
     * Seen after the first repair, with real processes: a customer had 320 requests in a window of 310 while proxies
     * were restarted in series. One that took over a second to begin was told the counts too late to believe them,
     * and knew nothing of what the window had used.
     */
    @Test
    public void quotaHoldsWhileRestartedProxiesStartSlowly() {
        for (long pause : new long[] {0, 30_000, 100_000}) {
            assertQuotaHolds(pause, fleet -> {
                fleet.cluster.run(1, fleet.surgeDemand());
                fleet.restartManyWithSlowStart();
            });
        }
    }

    /**
     * Seen after the second repair, with real processes, seven of which were restarted each second: 295 requests in a
     * window of 241. A member that ends takes with it what it had yet to pass on, so that all count too little.
     */
    @Test
    public void quotaHoldsWhileMembersStopBeforeForwardingUnits() {
        for (long pause : new long[] {0, 85_000}) {
            assertQuotaHolds(pause, fleet -> fleet.restartEightPerSecond(300_000));
        }
    }

    /** The same where members hear of a view up to 0.8 s after each other. */
    @Test
    public void quotaHoldsWhileMembersEndAndViewsDifferForLong() {
        for (long pause : new long[] {0, 85_000}) {
            assertQuotaHolds(pause, fleet -> fleet.restartEightPerSecond(800_000));
        }
    }

    /** A customer that keeps to its limit is not refused: the mean over sizes and seeds. */
    private static double refusedFraction(long pauseMicros, Scenario course) {
        double refused = 0;
        int fleets = 0;
        for (double rate : new double[] {15, 40, 150}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Fleet fleet = new Fleet(rate, pauseMicros, seed);
                long requests = fleet.cluster.requests;
                long admitted = fleet.cluster.admissionTimes.size();
                course.run(fleet);
                refused += 1
                        - (fleet.cluster.admissionTimes.size() - admitted)
                                / (double) (fleet.cluster.requests - requests);
                fleets++;
            }
        }
        return refused / fleets;
    }

    @Test
    public void requestsWithinTheQuotaAreNotRefused() {
        for (long pause : new long[] {0, 30_000, 100_000}) {
            double refused = refusedFraction(pause, fleet -> fleet.cluster.run(7, fleet.usualDemand()));
            assertTrue(refused < 0.015, "pauses of " + pause + ": " + refused);
            double refusedInRestarts = refusedFraction(pause, fleet -> fleet.restartInSeries(fleet.usualDemand()));
            assertTrue(refusedInRestarts < 0.025, "restarts, pauses of " + pause + ": " + refusedInRestarts);
        }
    }
}
