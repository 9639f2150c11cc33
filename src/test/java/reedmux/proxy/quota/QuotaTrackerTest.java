package reedmux.proxy.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import reedmux.common.quota.QuotaUpdate;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.control.configuration.TenantItem;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/** Members of the heap in virtual time: what they let through together, and what they count. */
public class QuotaTrackerTest {
    private static final TenantItem TENANT = new TenantItem("t", List.of("k"), 0, 65, 65);

    private static final double MAX_ADMITTED = (65 * 5 + 65) * 1.1 + 20;

    @Test
    public void admitsNoMoreThanTheQuotaInASurgeWithAndWithoutLoss() {
        for (double loss : new double[] {0, 0.01, 0.05}) {
            for (int seed = 0; seed < 6; seed++) {
                QuotaCluster cluster = new QuotaCluster(TENANT, 10, loss, seed);
                cluster.run(3, 40);
                cluster.run(8, 276);
                cluster.run(3, 40);
                assertTrue(
                        cluster.maxAdmittedInFiveSeconds() <= MAX_ADMITTED,
                        "loss " + loss + ", seed " + seed + ": " + cluster.maxAdmittedInFiveSeconds());
                assertTrue(
                        cluster.maxAdmittedInFiveSeconds() >= 0.9 * (65 * 5 + 65),
                        "too little was let through: " + cluster.maxAdmittedInFiveSeconds());
            }
        }
    }

    /** As in shannonside-line-grown hunt-2b28-3: 65 members, and what crosses twelve links is late. */
    @Test
    public void admitsNoMoreThanTheQuotaInASurgeOverManyMembers() {
        for (int seed = 0; seed < 6; seed++) {
            QuotaCluster cluster = new QuotaCluster(TENANT, 65, 0.01, seed);
            cluster.run(3, 40);
            cluster.run(7, 1100);
            assertTrue(
                    cluster.maxAdmittedInFiveSeconds() <= MAX_ADMITTED,
                    "seed " + seed + ": " + cluster.maxAdmittedInFiveSeconds());
        }
    }

    @Test
    public void admitsTenantsWithinTheirQuota() {
        for (int seed = 0; seed < 6; seed++) {
            QuotaCluster cluster = new QuotaCluster(TENANT, 8, 0.01, seed);
            cluster.run(2, 40);
            int before = cluster.admissionTimes.size();
            cluster.run(10, 40);
            assertTrue(cluster.admissionTimes.size() - before > 10 * 40 * 0.85);
        }
    }

    /**
     * One is cut off from the registries, so that the others go on without it while it serves its clients.
     */
    @Test
    public void partitionedMemberAndTheOthersEachUseOnlyTheirShare() {
        for (int seed = 0; seed < 6; seed++) {
            QuotaCluster cluster = new QuotaCluster(TENANT, 10, 0, seed);
            cluster.run(2, 40);
            cluster.withoutRegistries[4] = true;
            cluster.members.get(4).setRegistriesUnreachable(true);
            List<ProxySession> rest = new ArrayList<>(cluster.sessions);
            rest.remove(4);
            cluster.changeViews(SessionView.of(rest));
            cluster.run(6, 276);
            assertTrue(
                    cluster.maxAdmittedInFiveSeconds() <= MAX_ADMITTED,
                    "seed " + seed + ": " + cluster.maxAdmittedInFiveSeconds());
        }
    }

    /** As in hsinhe-ccd trouble-2: the registries are gone for all, and the heap goes on. */
    @Test
    public void heapExchangesCountsWithoutRegistries() {
        QuotaCluster cluster = new QuotaCluster(TENANT, 8, 0, 1);
        cluster.run(2, 40);
        cluster.members.forEach(member -> member.setRegistriesUnreachable(true));
        int before = cluster.admissionTimes.size();
        cluster.run(6, 40);
        assertTrue(cluster.admissionTimes.size() - before > 6 * 40 * 0.8);
    }

    /**
     * A member falls silent, and with it every path through it, two seconds and a half before the registries
     * tell: each part of the heap went on with the whole rate. Before, during and after the beginning of a
     * surge; cut off with clients of its own, or dead.
     */
    @Test
    public void membersBehindAnUnreachableMemberUseOnlyTheirShare() {
        for (int unreachable = 0; unreachable < 8; unreachable++) {
            for (double before : new double[] {0.2, 0.8, 1.5, 3.5}) {
                for (boolean dies : new boolean[] {false, true}) {
                    QuotaCluster cluster = new QuotaCluster(TENANT, 10, 0.01, unreachable);
                    cluster.run(2, 40);
                    if (before < 2) {
                        cluster.run(before, 276);
                    }
                    cluster.partitioned.add(unreachable);
                    if (dies) {
                        cluster.dead.add(unreachable);
                    }
                    cluster.run(before < 2 ? 2.5 : 1, before < 2 ? 276 : 40);
                    cluster.run(before < 2 ? 0 : 1.5, 276);
                    List<ProxySession> rest = new ArrayList<>(cluster.sessions);
                    rest.remove(unreachable);
                    cluster.withoutRegistries[unreachable] = true;
                    cluster.members.get(unreachable).setRegistriesUnreachable(true);
                    cluster.changeViews(SessionView.of(rest));
                    cluster.run(4, 276);
                    assertTrue(
                            cluster.maxAdmittedInFiveSeconds() <= MAX_ADMITTED,
                            "member " + unreachable + ", after " + before + (dies ? ", dead: " : ": ")
                                    + cluster.maxAdmittedInFiveSeconds());
                }
            }
        }
    }

    /**
     * As in shannonside-line-grown scale-1: uploads fill the proxies' links for a while, again and again. Who
     * is silent for that long and comes back has told what it used, and holds nobody's quota back after it.
     */
    @Test
    public void reservedShareIsReleasedWhenASilentMemberSendsAgain() {
        for (int count : new int[] {10, 65}) {
            for (int seed = 0; seed < 4; seed++) {
                QuotaCluster cluster = new QuotaCluster(TENANT, count, 0.01, seed);
                cluster.linkBusyMicros = 400_000;
                cluster.run(4, 40);
                int before = cluster.admissionTimes.size();
                cluster.run(10, 40);
                int used = cluster.admissionTimes.size() - before;
                assertTrue(used > 10 * 40 * 0.85, count + " members, seed " + seed + ": " + used);
            }
        }
    }

    /** The same with a surge: what is given back is no more than was owed. */
    @Test
    public void admitsNoMoreThanTheQuotaInASurgeOverCongestedLinks() {
        for (int count : new int[] {10, 65}) {
            for (long busyMicros : new long[] {200_000, 400_000, count < 20 ? 700_000 : 500_000}) {
                for (int seed = 0; seed < 4; seed++) {
                    QuotaCluster cluster = new QuotaCluster(TENANT, count, 0.01, seed);
                    cluster.linkBusyMicros = busyMicros;
                    cluster.run(4, 40);
                    cluster.run(8, 276);
                    assertTrue(
                            cluster.maxAdmittedInFiveSeconds() <= MAX_ADMITTED,
                            count + " members, full for " + busyMicros + ", seed " + seed + ": "
                                    + cluster.maxAdmittedInFiveSeconds());
                }
            }
        }
    }

    /** As in a drawn day at hsinhe: what busy proxies are told late is paid back all the same. */
    @Test
    public void admitsNoMoreThanTheQuotaInASurgeThatIsReportedLate() {
        TenantItem big = new TenantItem("t", List.of("k"), 0, 222, 222);
        for (long delayMicros : new long[] {40_000, 80_000, 120_000}) {
            for (double rate : new double[] {1110, 1500}) {
                QuotaCluster cluster = new QuotaCluster(big, 10, 0.01, 1);
                cluster.extraDelayMicros = delayMicros;
                cluster.run(4, 130);
                cluster.run(7, rate);
                assertTrue(
                        cluster.maxAdmittedInFiveSeconds() <= (222 * 5 + 222) * 1.1 + 20,
                        delayMicros + " late, rate " + rate + ": " + cluster.maxAdmittedInFiveSeconds());
            }
        }
    }

    /** Loss of datagrams alone is no silence. */
    @Test
    public void datagramLossAloneMakesNoMemberUnreachable() {
        for (int seed = 0; seed < 6; seed++) {
            QuotaCluster cluster = new QuotaCluster(TENANT, 10, 0.02, seed);
            cluster.run(3, 40);
            cluster.run(1, 276);
            int before = cluster.admissionTimes.size();
            cluster.run(8, 276);
            assertTrue(
                    cluster.admissionTimes.size() - before > 8 * 65 * 0.93,
                    "let through: " + (cluster.admissionTimes.size() - before));
        }
    }

    /** Every order of a total, its repeat and the next one: what is counted is the last total. */
    @Test
    public void countsEachUnitOnceInAnyOrderOfUpdates() {
        double[] totals = {3, 3, 5};
        for (int[] order : new int[][] {{0, 1, 2}, {0, 2}, {2}, {1, 2}, {0, 1, 2, 2}}) {
            QuotaCluster cluster = new QuotaCluster(TENANT, 3, 0, 0);
            QuotaTracker parent = cluster.members.get(0);
            for (int i : order) {
                ArrayList<TenantTotal> entries = new ArrayList<>(List.of(new TenantTotal("t", totals[i], -1)));
                parent.onUpdate(
                        new QuotaUpdate("n1", 2, 1, cluster.view.digest(), 1, entries), name -> TENANT, cluster.now);
            }
            assertEquals(parent.countedUnits(TENANT, cluster.now), 5.0);
            // It goes on to the other child, and not back.
            List<QuotaTracker.OutgoingUpdate> letters = parent.collectUpdates(cluster.now);
            assertEquals(
                    letters.stream()
                            .filter(letter -> letter.receiver().node().equals("n2"))
                            .count(),
                    1);
            assertTrue(letters.stream()
                    .noneMatch(letter -> letter.receiver().node().equals("n1")
                            && letter.update().entries().stream().anyMatch(entry -> entry.total() != 0)));
        }
    }

    /** Where two have different views, units are counted and go no further: no circle can form. */
    @Test
    public void doesNotForwardUnitsFromAnotherView() {
        QuotaCluster cluster = new QuotaCluster(TENANT, 3, 0, 0);
        QuotaTracker parent = cluster.members.get(0);
        parent.onUpdate(
                new QuotaUpdate("n1", 2, 1, 12345, 1, new ArrayList<>(List.of(new TenantTotal("t", 4, -1)))),
                name -> TENANT,
                cluster.now);
        assertEquals(parent.countedUnits(TENANT, cluster.now), 4.0);
        assertTrue(parent.collectUpdates(cluster.now).stream()
                .allMatch(letter -> letter.update().entries().stream().allMatch(entry -> entry.total() == 0)));
    }

    /**
     * As in hsinhe-ccd hunt-bc35-15: after a loss of the registries views come and go, and a former one
     * comes back. Totals that began anew were taken for less than before, told on, and then for more: 429
     * for many seconds.
     */
    @Test
    public void returningToAFormerViewDoesNotChangeCounts() {
        for (int seed = 0; seed < 20; seed++) {
            QuotaCluster cluster = new QuotaCluster(TENANT, 10, 0.01, seed);
            cluster.run(6, 40);
            SessionView all = cluster.view;
            Random random = new Random(seed);
            for (int flip = 0; flip < 12; flip++) {
                List<ProxySession> some = new ArrayList<>(cluster.sessions);
                some.remove(random.nextInt(some.size()));
                SessionView next = flip % 2 == 0 ? SessionView.of(some) : all;
                for (int i = 0; i < cluster.members.size(); i++) {
                    cluster.changeView(i, next);
                    cluster.run(0.004, 40);
                }
            }
            cluster.changeViews(all);
            int before = cluster.admissionTimes.size();
            cluster.run(5, 40);
            assertTrue(
                    cluster.admissionTimes.size() - before > 5 * 40 * 0.8,
                    "seed " + seed + ": " + (cluster.admissionTimes.size() - before));
        }
    }
}
