package reedmux.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Settings;

/** Two processes of one gateway hold what one would, while both send and after the first has gone. */
class TwinTest {
    private static final long CUSTOMER = 77;
    private static final long STEP = 50 * Group.MS;

    /** Two modules in the same place; neither hears of the other but through its twin. */
    private static Group processes(Plan plan) {
        Settings alone = Group.settings(0, 1, plan);
        return new Group(alone, alone);
    }

    private static void exchange(Group group) {
        Twin old = group.brains[0].twin();
        Twin next = group.brains[1].twin();
        List<Twin.Spent> fromOld = old.spent();
        List<Twin.Spent> fromNext = next.spent();
        next.hear(group.now, fromOld);
        old.hear(group.now, fromNext);
    }

    private static int ask(Group group, int process, int times) {
        int before = group.sent.size();
        for (int i = 0; i < times; i++) {
            group.request(process, Group.SAFE, CUSTOMER, 0, 1);
        }
        return group.sent.size() - before;
    }

    @Test
    void aQuotaIsHeldOverBoth() {
        Group group = processes(Group.quota(0.001, 20));
        assertEquals(12, ask(group, 0, 12));
        group.run(STEP);
        group.brains[1].twin().take(group.now, group.brains[0].twin().hand(group.now));
        int sent = 0;
        for (int i = 0; i < 12; i++) {
            sent += ask(group, 0, 1) + ask(group, 1, 1);
            exchange(group);
            group.run(STEP);
        }
        assertEquals(8, sent);
        group.stop(0);
        group.brains[1].twin().alone();
        assertEquals(0, ask(group, 1, 5));
    }

    @Test
    void whatIsSpentElsewhereComesBackOnce() {
        Group group = processes(Group.quota(0.001, 20));
        group.brains[1].twin().take(group.now, group.brains[0].twin().hand(group.now));
        ask(group, 0, 5);
        for (int i = 0; i < 20; i++) { // were it an echo, it would grow at each exchange
            exchange(group);
            group.run(STEP);
        }
        assertEquals(15, ask(group, 1, 30));
    }

    @Test
    void aCeilingIsNeverPassedByTheTwoTogether() {
        Plan ceiling = new Plan("plan", 0, 0, 0, 10, 20, 0, 1, 0, 1);
        Group group = processes(ceiling);
        ask(group, 0, 1);
        group.run(10 * Group.SECOND); // its store is full
        Twin old = group.brains[0].twin();
        group.brains[1].twin().take(group.now, old.hand(group.now));
        int sent = 0;
        for (int i = 0; i < 20; i++) { // over a second
            sent += ask(group, 0, 3) + ask(group, 1, 3);
            exchange(group);
            group.run(STEP);
        }
        assertTrue(sent <= 30, "sent " + sent);
        assertTrue(sent >= 24, "sent " + sent);
        group.stop(0);
        group.brains[1].twin().alone();
        group.run(10 * Group.SECOND);
        assertEquals(20, ask(group, 1, 40)); // the whole store again
    }

    @Test
    void peersHoldTheQuotaThroughAHandOver() {
        Plan plan = Group.quota(0.001, 40);
        Group group = Group.of(3, plan);
        int sent = 0;
        for (int i = 0; i < 10; i++) {
            for (int gateway = 0; gateway < 3; gateway++) {
                int before = group.sent.size();
                group.request(gateway, Group.SAFE, CUSTOMER, 0, 3);
                sent += group.sent.size() - before;
            }
            group.run(2 * STEP);
        }
        // one more process in the place of number 1, which hears the peers from now on
        List<Twin.Kept> kept = group.brains[1].twin().hand(group.now);
        group.restart(1);
        group.brains[1].twin().take(group.now, kept);
        group.brains[1].twin().alone();
        sent += group.traffic(1, CUSTOMER, 3, STEP, 4 * Group.SECOND);
        sent += group.traffic(0, CUSTOMER, 3, STEP, 4 * Group.SECOND);
        assertTrue(sent <= 40, "sent " + sent);
        assertTrue(sent >= 34, "sent " + sent);
    }

    @Test
    void whatDoesNotFitIsPassedOver() {
        Group group = processes(Group.quota(1, 20));
        Twin twin = group.brains[1].twin();
        twin.hear(
                group.now,
                List.of(
                        new Twin.Spent(CUSTOMER, 3, 0, 1, 9),
                        new Twin.Spent(CUSTOMER, 0, 5, 1, 9),
                        new Twin.Spent(CUSTOMER, 0, 0, 9, 9),
                        new Twin.Spent(-4, 0, 0, 1, 9)));
        assertEquals(0, group.brains[1].accounts.size());
    }
}
