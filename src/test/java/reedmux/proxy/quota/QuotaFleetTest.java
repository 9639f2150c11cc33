package reedmux.proxy.quota;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import reedmux.control.configuration.TenantItem;

/**
 * Guards against tenants exceeding their quota while proxies restart in series and run late. On a fleet of 75 proxies
 * as real processes, customers exceeded their limits in most runs: 188 requests in five seconds with 158 allowed, and
 * 128 with 109 allowed. A customer sent many times its usual load during restarts, on machines that gave each process
 * only part of a processor, so that everything was delayed by some tenths of a second.
 *
 * <p>Each proxy admitted whatever fitted into its own count, regardless of how late that was, and without a limit on
 * what it admitted before the others knew. Units were also forwarded along the heap of the sender's view only if the
 * receiver had the same view. While proxies learned of a restart at different times, the next proxy counted units but
 * did not forward them, and they were not reported to the remaining proxies again.
 *
 * <p>In this simulation, customers stay within the limit if all members receive views at the same time. With the same
 * views delivered within 0.4 s, they reached 1.5 times the limit, whether a process was restarted or only its session
 * ended and returned. With stable views, pauses of up to 0.3 s alone led to 1.15 times the limit. Of real processes, a
 * fleet that was merely busy kept the limits, and exceeded them once each proxy was paused for part of every 100 ms.
 */
public class QuotaFleetTest {
    private static final int MEMBERS = 75;
    private static final int CLIENTS = 12;
    private static final double USUAL_DEMAND_FRACTION = 1 / 1.6;
    private static final double SURGE_FACTOR = 7.5;
    private static final long VIEW_DELAY_MICROS = 400_000;
    private static final int RESTARTS = 6;
    private static final int SEEDS = 4;

    /** A fleet and one customer, whose rate (in requests per second) and burst are equal. */
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

        /** Lets clients connect to all members from now on. */
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

        /** Restarts five random members per second; their new processes take over a second to start. */
        private void restartManyWithSlowStart() {
            cluster.maxViewDelayMicros = VIEW_DELAY_MICROS;
            for (int i = 0; i < 7 * RESTARTS; i++) {
                cluster.beginRestart(random.nextInt(MEMBERS), 1.2 + random.nextDouble());
                cluster.run(0.2, surgeDemand());
            }
        }

        /** Restarts eight members per second before and during the surge; each restart takes about a second. */
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

    /** A sequence of load and restarts to run on a fleet. */
    private interface Scenario {
        void run(Fleet fleet);
    }

    private static void assertQuotaHolds(long pauseMicros, Scenario scenario) {
        StringBuilder violations = new StringBuilder();
        for (double rate : new double[] {5, 15, 40, 150}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Fleet fleet = new Fleet(rate, pauseMicros, seed);
                if (seed % 2 == 1) {
                    fleet.spreadClients();
                }
                scenario.run(fleet);
                if (fleet.maxFractionOfLimit() > 1) {
                    violations.append(String.format(
                            "rate %.0f, pauses of %d ms, seed %d: %.2f of the limit%n",
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
     * Guards against restarted proxies that take over a second to start. With real processes restarted in series, a
     * customer had 320 requests in a window that allows 310: a proxy that started slowly received the counts too late
     * to adopt them, and did not know how much of the window was used.
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
     * Guards against units that are lost when a member stops before forwarding them, so that all members count too few.
     * With real processes, seven of them restarted each second, 295 requests were admitted in a window that allows 241.
     */
    @Test
    public void quotaHoldsWhileMembersStopBeforeForwardingUnits() {
        for (long pause : new long[] {0, 85_000}) {
            assertQuotaHolds(pause, fleet -> fleet.restartEightPerSecond(300_000));
        }
    }

    /** Same as above, with members that receive a view up to 0.8 s apart. */
    @Test
    public void quotaHoldsWhileMembersEndAndViewsDifferForLong() {
        for (long pause : new long[] {0, 85_000}) {
            assertQuotaHolds(pause, fleet -> fleet.restartEightPerSecond(800_000));
        }
    }

    /** Returns the fraction of requests rejected in a scenario, as the mean over rates and seeds. */
    private static double refusedFraction(long pauseMicros, Scenario scenario) {
        double refused = 0;
        int fleets = 0;
        for (double rate : new double[] {15, 40, 150}) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Fleet fleet = new Fleet(rate, pauseMicros, seed);
                long requests = fleet.cluster.requests;
                long admitted = fleet.cluster.admissionTimes.size();
                scenario.run(fleet);
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
            assertTrue(refused < 0.015, "rejected fraction with pauses of " + pause + " us: " + refused);
            double refusedInRestarts = refusedFraction(pause, fleet -> fleet.restartInSeries(fleet.usualDemand()));
            assertTrue(
                    refusedInRestarts < 0.025,
                    "rejected fraction with restarts and pauses of " + pause + " us: " + refusedInRestarts);
        }
    }
}
