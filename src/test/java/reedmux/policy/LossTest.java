package reedmux.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.Settings;

/** Counts through faults, cuts without a restart, plans and sets that differ, and customers long idle. */
class LossTest {
    private static final long CUSTOMER = 77;

    /** The timer was set in the last line of a turn, and a fault before it ended the talk for good. */
    @Test
    void aFaultInTellingDoesNotSilenceTheHeapForGood() {
        Group group = Group.of(2, Group.quota(0.001, 20));
        group.lost = (from, to) -> {
            throw new IllegalStateException("planted");
        };
        assertThrows(IllegalStateException.class, () -> group.run(Group.SECOND));
        assertThrows(IllegalStateException.class, () -> group.run(Group.SECOND));
        group.lost = (from, to) -> false;
        group.run(3 * Group.SECOND);
        assertEquals(20, group.traffic(0, CUSTOMER, 2, 60 * Group.MS, 3 * Group.SECOND));
        group.run(Group.SECOND);
        assertEquals(0, group.traffic(1, CUSTOMER, 2, 60 * Group.MS, Group.SECOND));
    }

    /** The cut ends without a restart, so nobody used to tell what had been let through meanwhile. */
    @Test
    void aNeighbourBackFromACutIsToldTheCount() {
        Group group = Group.of(2, Group.quota(0.001, 20));
        group.request(0, Group.SAFE, CUSTOMER, 0, 2);
        group.request(1, Group.SAFE, CUSTOMER, 0, 2);
        group.run(Group.SECOND);
        group.lost = (from, to) -> true;
        group.run(2 * Group.SECOND);
        assertEquals(18, group.traffic(0, CUSTOMER, 2, 60 * Group.MS, 3 * Group.SECOND));
        group.lost = (from, to) -> false;
        group.run(3 * Group.SECOND);
        assertEquals(0, group.traffic(1, CUSTOMER, 2, 60 * Group.MS, 3 * Group.SECOND));
    }

    /** In a cut each goes on with its part of the rate; with the whole each it would be 458 and 687. */
    @Test
    void thoseThatAreCutOffShareTheRate() {
        for (int members : new int[] {2, 3}) {
            Group group = Group.of(members, Group.quota(10, 30));
            for (int i = 0; i < members; i++) {
                group.request(i, Group.SAFE, CUSTOMER, 0, members);
            }
            group.run(5 * Group.SECOND);
            group.lost = (from, to) -> true;
            int before = group.sent.size();
            for (int turn = 0; turn < 1000; turn++) {
                for (int i = 0; i < members; i++) {
                    group.request(i, Group.SAFE, CUSTOMER, 0, members);
                }
                group.run(20 * Group.MS);
            }
            assertEquals(members * 30 + 200, group.sent.size() - before, 15, "each a burst, all the rate");
        }
    }

    /** Forty that each take the last of the room at one moment; 560 go through where no lot is drawn. */
    @Test
    void theLastOfTheRoomGoesByLotWhereManyRaceForIt() {
        Group group = Group.of(40, Group.quota(10, 30));
        group.run(10 * Group.SECOND);
        for (int surge = 0; surge < 20; surge++) {
            for (int i = 0; i < 80; i++) {
                group.request(i % 40, Group.SAFE, CUSTOMER, 0, 40);
            }
            group.run(Group.SECOND);
        }
        assertTrue(group.sent.size() <= 340, "of 230 in the quota: " + group.sent.size());
    }

    /** What went beyond a quota takes nothing from it, so a customer is not refused long after a surge. */
    @Test
    void afterASurgeThroughAllGatewaysTheRateIsServedAgain() {
        Group group = Group.of(3, Group.quota(2, 16));
        for (int i = 0; i < 3; i++) {
            group.request(i, Group.SAFE, CUSTOMER, 0, 3);
        }
        group.run(15 * Group.SECOND);
        for (int i = 0; i < 48; i++) {
            group.request(i % 3, Group.SAFE, CUSTOMER, 0, 3);
        }
        group.run(Group.SECOND);
        int before = group.sent.size();
        assertEquals(51, before, "nobody knows in time");
        for (int i = 0; i < 30; i++) {
            group.request(i % 3, Group.SAFE, CUSTOMER, 0, 3);
            group.run(650 * Group.MS);
        }
        assertTrue(group.sent.size() - before >= 12, "after it: " + (group.sent.size() - before));
    }

    /** What an edge could not tell before a long cut has drained since, and counts for nothing after it. */
    @Test
    void whatWaitedThroughALongCutIsNotCountedAsNew() {
        Group group = Group.of(2, Group.quota(1, 9));
        group.request(0, Group.SAFE, CUSTOMER, 0, 2);
        group.request(1, Group.SAFE, CUSTOMER, 0, 2);
        group.run(10 * Group.SECOND);
        group.lost = (from, to) -> true;
        assertEquals(9, group.traffic(0, CUSTOMER, 2, Group.MS, 9 * Group.MS));
        group.run(120 * Group.SECOND);
        group.request(0, Group.SAFE, 5, 0, 2); // lets the sweep come by
        group.lost = (from, to) -> false;
        group.request(1, Group.SAFE, CUSTOMER, 0, 2); // seen for the first time again
        group.run(3 * Group.SECOND);
        assertEquals(9, group.traffic(1, CUSTOMER, 2, Group.MS, 9 * Group.MS));
    }

    /** Deltas go up but nothing comes down for long: what was told before and since adds up, once. */
    @Test
    void aLinkThatCarriesOneWayOnlyMiscountsNothingOnceItIsWhole() {
        Group group = Group.of(3, Group.quota(0.001, 30));
        for (int gateway = 0; gateway < 3; gateway++) {
            group.request(gateway, Group.SAFE, CUSTOMER, 0, 3);
        }
        group.run(Group.SECOND);
        group.lost = (from, to) -> from == 0 && to == 2;
        int sent = 3 + group.traffic(2, CUSTOMER, 3, 200 * Group.MS, 2 * Group.SECOND);
        group.run(10 * Group.SECOND);
        group.lost = (from, to) -> false;
        group.run(3 * Group.SECOND);
        int left = group.traffic(1, CUSTOMER, 3, 100 * Group.MS, 5 * Group.SECOND);
        assertEquals(30, sent + left, 3);
    }

    /** One spoilt packet in 65,536 passes its check: it must not make all later ones look old for good. */
    @Test
    void aSpoiltPacketThatPassesItsCheckCutsNoEdgeForGood() {
        for (int spoilt = 0; spoilt < 3; spoilt++) {
            Group group = Group.of(2, Group.quota(0.001, 20));
            group.request(1, Group.SAFE, CUSTOMER, 0, 2);
            group.run(Group.SECOND);
            PeerPacket last = PeerPacket.read(group.told.get(group.tellers.lastIndexOf(1)));
            List<PeerPacket.News> silentForEver = List.of(new PeerPacket.News(1, Integer.MAX_VALUE));
            group.give(
                    0,
                    new Gateway.PeerMessage(
                            1,
                            new PeerPacket.Writer(
                                            new PeerPacket.Names(),
                                            last.incarnation() ^ (spoilt == 0 ? 5 : 0),
                                            0,
                                            0,
                                            spoilt == 0 ? 500 : spoilt == 1 ? 1L << 50 : last.number() + 1,
                                            0,
                                            true,
                                            40,
                                            spoilt == 2 ? silentForEver : List.of(),
                                            256)
                                    .finish()));
            group.run(10 * Group.SECOND);
            for (int i = 0; i < 19; i++) {
                group.request(1, Group.SAFE, CUSTOMER, 0, 2);
                group.run(400 * Group.MS);
            }
            assertEquals(20, group.sent.size());
            group.run(20 * Group.SECOND);
            int more = group.traffic(0, CUSTOMER, 2, 60 * Group.MS, Group.SECOND);
            assertTrue(more <= 1, "spoilt in way " + spoilt + ": " + more); // one that it may stand in for
        }
    }

    /** Two neighbours that go at once leave the same units behind twice; the one who follows got both. */
    @Test
    void whatWaitedForTwoLostNeighboursCountsOnce() {
        State.Account account = new State.Account(CUSTOMER, Group.quota(1, 9), 0, 0, 5, new State.Part(), 0);
        account.rewire(new int[] {-1, 1, 2});
        account.add(5, -1);
        account.rewire(new int[] {-1, 3, -1});
        assertArrayEquals(new double[] {0, 5, 0}, account.to);
    }

    /** A slow plan's customer had its whole burst again after a minute's silence. */
    @Test
    void whoHasSpentMoreThanAMinutesWorthIsNotForgottenByThen() {
        Group group = Group.of(1, Group.quota(0.01, 10));
        assertEquals(10, group.traffic(0, CUSTOMER, 1, 60 * Group.MS, Group.SECOND));
        for (int i = 0; i < 9; i++) {
            group.run(10 * Group.SECOND);
            group.request(0, Group.SAFE, i, 0, 1);
        }
        assertEquals(0, group.traffic(0, CUSTOMER, 1, 60 * Group.MS, Group.SECOND));
    }

    /** A gateway that takes no requests itself has customers from its peers alone. */
    @Test
    void whoIsOnlyHeardOfIsForgottenToo() {
        Group group = Group.of(2, Group.quota(1, 9));
        for (int i = 0; i < 40; i++) {
            group.request(0, Group.SAFE, i, 0, 2);
        }
        group.run(3 * Group.SECOND);
        assertTrue(group.brains[1].accounts.size() > 30);
        group.run(90 * Group.SECOND);
        assertEquals(0, group.brains[1].accounts.size());
    }

    /** During a rolling restart two gateways may number the plans otherwise; the consumer's word counts. */
    @Test
    void aPeersNumberOfAPlanIsNotBelievedAgainstARequest() {
        Plan small = new Plan("small", 0.001, 6, 0, 0, 0, 0, 1, 0, 1);
        Plan large = new Plan("large", 100, 1000, 0, 0, 0, 0, 1, 0, 1);
        Group group = new Group(plans(0, small, large), plans(1, large, small));
        group.run(Group.SECOND);
        give(group, 1, 1);
        group.run(Group.SECOND);
        for (int i = 0; i < 50; i++) {
            give(group, 0, 0);
            group.run(100 * Group.MS);
        }
        assertTrue(group.sent.size() <= 6, "sent on: " + group.sent.size());
    }

    private static Settings plans(int self, Plan... plans) {
        Settings one = Group.settings(self, 2, plans[0]);
        return new Settings(
                self, 2, 0, false, false, 1, Group.MS, one.classes(), List.of(plans), one.rules(), one.limits());
    }

    private static void give(Group group, int gateway, int plan) {
        group.give(
                gateway,
                new Request(
                        String.format("%016x", 1000 + group.sent.size() + group.now),
                        0,
                        plan,
                        CUSTOMER,
                        group.now + Group.SECOND,
                        1,
                        2,
                        0,
                        false));
    }

    /** One gateway is told a smaller set than the other, and took a larger share of the ceiling for it. */
    @Test
    void theCeilingHoldsThoughASetIsToldInTwoWays() {
        Group group = Group.of(2, new Plan("plan", 100, 100, 0, 10, 20, 2, 1, 0, 1));
        group.lost = (from, to) -> true;
        group.run(10 * Group.SECOND);
        group.request(0, Group.SAFE, CUSTOMER, 0, 2);
        for (int i = 0; i < 400; i++) {
            group.request(0, Group.SAFE, CUSTOMER, 0, 1);
            group.request(1, Group.SAFE, CUSTOMER, 0, 2);
            group.run(10 * Group.MS);
        }
        assertTrue(group.sent.size() <= 20 + 4 * 10 + 2, "sent on: " + group.sent.size());
    }

    /** A request that goes astray must not bring in one more share of the ceiling than there are members. */
    @Test
    void whoIsNoMemberOfASetHasNoPartOfItsCeiling() {
        Group group = Group.of(3, new Plan("plan", 100, 100, 0, 10, 20, 2, 1, 0, 1));
        group.run(10 * Group.SECOND);
        for (int i = 0; i < 400; i++) {
            for (int gateway = 0; gateway < 3; gateway++) {
                group.request(gateway, Group.SAFE, CUSTOMER, 0, 2);
            }
            group.run(10 * Group.MS);
        }
        assertTrue(group.sent.size() <= 20 + 4 * 10 + 2, "sent on: " + group.sent.size());
        assertEquals(0, group.sent.stream().filter(one -> one.gateway() == 2).count());
        assertTrue(group.refused.stream().allMatch(one -> one.retryAfter() > 0), "with advice");
    }

    /** On sockets a request takes its units once it is whole at a server; the simulator takes them before. */
    @Test
    void whatNeverCameWholeToAServerTakesNoUnits() {
        keeps(false, true, Outcome.CONNECT_FAILED);
        keeps(true, false, Outcome.CONNECT_FAILED);
        keeps(true, true, Outcome.FULL); // turned away, but it was there
        keeps(true, true, Outcome.RESET);
    }

    /** It leaves while its call is not up yet; what comes of that call keeps nothing and tells nobody. */
    @Test
    void aConsumerWhoLeavesBeforeItsCallIsUpTakesNoUnitsAndLeavesNothingOpen() {
        Settings told = Group.settings(0, 2, Group.quota(0.001, 10));
        Group group = new Group(
                new Settings(
                        0, 2, 0, false, true, 1, Group.MS, told.classes(), told.plans(), told.rules(), told.limits()),
                Group.settings(1, 2, Group.quota(0.001, 10)));
        group.run(Group.SECOND);
        group.ends = sent -> Outcome.CONNECT_FAILED;
        for (int i = 0; i < 4; i++) {
            String id = group.request(0, Group.UNSAFE, CUSTOMER, 0, 2);
            group.run(10 * Group.MS); // its delta may be on its way by now
            group.give(0, new Gateway.Withdrawn(id));
            group.run(Group.SECOND);
        }
        assertEquals(4, group.sent.size(), "no further call for nobody");
        assertEquals(0, group.refused.size() + group.failed.size());
        assertEquals(0, group.brains[0].accounts.get(CUSTOMER).open);
        group.ends = sent -> Outcome.OK;
        assertEquals(
                10,
                group.traffic(1, CUSTOMER, 2, 100 * Group.MS, 4 * Group.SECOND),
                "the other gateway was told that they were not taken");
    }

    private static void keeps(boolean kept, boolean whenWhole, Outcome outcome) {
        Settings told = Group.settings(0, 1, Group.quota(0.001, 10));
        Group group = new Group(new Settings(
                0, 1, 0, false, whenWhole, 1, Group.MS, told.classes(), told.plans(), told.rules(), told.limits()));
        group.ends = sent -> outcome;
        for (int i = 0; i < 10; i++) {
            group.request(0, Group.UNSAFE, CUSTOMER, 0, 1);
            group.run(400 * Group.MS);
        }
        assertEquals(10, group.refused.size() + group.failed.size());
        long tries = group.sent.stream().map(Group.Sent::request).distinct().count();
        assertTrue(tries > 2, "sent on: " + tries);
        group.run(20 * Group.SECOND);
        group.ends = sent -> Outcome.OK;
        assertEquals(
                kept ? 10 - tries : 10,
                group.traffic(0, CUSTOMER, 1, 100 * Group.MS, 4 * Group.SECOND),
                whenWhole + " " + outcome);
    }
}
