package reedmux.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.item.Orders;

/** A checker's life told in every order. */
public class FleetTest {
    private static final long NOW = 5_000_000;

    private static Incarnation life(String id, String address, int phase, long seq) {
        return new Incarnation(id, "desk", address, "here", 3, phase, seq, 0, false);
    }

    @Test
    public void aPhaseNeverGoesBackInAnyOrder() {
        List<Incarnation> told = List.of(
                life("a", "10.0.0.1:80", Incarnation.READY, 1),
                life("a", "10.0.0.1:80", Incarnation.READY, 2),
                life("a", "10.0.0.1:80", Incarnation.DRAINING, 3),
                life("a", "10.0.0.1:80", Incarnation.GONE, 3));
        int plays = Orders.all(1000, orders -> {
            Fleet fleet = new Fleet();
            List<Incarnation> left = new ArrayList<>(told);
            int reached = Incarnation.READY;
            while (!left.isEmpty()) {
                Incarnation next = left.remove(orders.pick(left.size()));
                fleet.merge(next, NOW);
                reached = Math.max(reached, next.phase());
                assertEquals(fleet.get("a", NOW).phase(), reached);
            }
            assertEquals(fleet.get("a", NOW).seq(), 3);
        });
        assertEquals(plays, 24);
    }

    /** Two that tell each other end with the same, whoever heard what first. */
    @Test
    public void twoThatTellEachOtherAgree() {
        List<Incarnation> told = List.of(
                life("a", "10.0.0.1:80", Incarnation.READY, 1),
                life("a", "10.0.0.1:80", Incarnation.DRAINING, 4),
                life("b", "10.0.0.2:80", Incarnation.READY, 7));
        Orders.all(1000, orders -> {
            Fleet[] fleets = {new Fleet(), new Fleet()};
            for (Incarnation life : told) {
                fleets[orders.pick(2)].merge(life, NOW);
            }
            fleets[0].since(0, NOW).forEach(life -> fleets[1].merge(life, NOW));
            fleets[1].since(0, NOW).forEach(life -> fleets[0].merge(life, NOW));
            for (String id : new String[] {"a", "b"}) {
                assertEquals(
                        fleets[0].get(id, NOW).phase(), fleets[1].get(id, NOW).phase());
                assertEquals(
                        fleets[0].get(id, NOW).seq(), fleets[1].get(id, NOW).seq());
            }
        });
    }

    @Test
    public void aNewLifeAtAnAddressEndsTheOneBefore() {
        Fleet fleet = new Fleet();
        fleet.called(life("a", "10.0.0.1:80", Incarnation.READY, 9), NOW);
        fleet.called(life("b", "10.0.0.1:80", Incarnation.READY, 1), NOW + 3_000_000);
        assertEquals(fleet.get("a", NOW).phase(), Incarnation.READY); // its call may only be late
        assertTrue(fleet.called(life("b", "10.0.0.1:80", Incarnation.READY, 2), NOW + 4_500_000));
        assertEquals(fleet.get("a", NOW).phase(), Incarnation.GONE);
        assertEquals(fleet.get("b", NOW).phase(), Incarnation.READY);
        fleet.called(life("a", "10.0.0.1:80", Incarnation.READY, 10), NOW + 5_000_000);
        assertEquals(fleet.get("b", NOW).phase(), Incarnation.READY);
    }

    @Test
    public void whoIsNotHeardOfIsSilentUntilItIsHeardAgain() {
        Fleet fleet = new Fleet();
        fleet.merge(life("a", "10.0.0.1:80", Incarnation.READY, 1), NOW);
        long before = fleet.changes();
        fleet.sweep(NOW + 7_000_000, 6_000_000);
        assertTrue(fleet.get("a", NOW).silent() && fleet.changes() > before);
        fleet.called(life("a", "10.0.0.1:80", Incarnation.READY, 2), NOW + 8_000_000);
        assertTrue(!fleet.get("a", NOW).silent());
    }

    /** What others tell comes late and in any order: of a checker that beats it ends nothing. */
    @Test
    public void aLateAccountOfWhoHadTheAddressBeforeEndsNobody() {
        Incarnation old = life("a", "10.0.0.1:80", Incarnation.READY, 9);
        Incarnation next = life("b", "10.0.0.1:80", Incarnation.READY, 4);
        int plays = Orders.all(1000, orders -> {
            Fleet fleet = new Fleet();
            List<Incarnation> left =
                    new ArrayList<>(List.of(old, next, life("b", "10.0.0.1:80", Incarnation.READY, 5)));
            long now = NOW;
            while (!left.isEmpty()) {
                fleet.merge(left.remove(orders.pick(left.size())), now);
                now += 3_000_000;
            }
            assertEquals(fleet.get("b", now).phase(), Incarnation.READY);
        });
        assertEquals(plays, 6);
    }
}
