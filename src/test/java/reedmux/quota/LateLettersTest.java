package reedmux.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.item.Orders;
import reedmux.item.Tenant;
import reedmux.member.Session;
import reedmux.member.View;

/** Letters of older generations and incarnations, in every order and twice: nothing is counted twice. */
public class LateLettersTest {
    private static final long NOW = 20_000_000;
    private static final Tenant TENANT = new Tenant("t", List.of("k"), 0, 65, 65);

    private static Quotas.Packet packet(long life, long generation, long view, double total) {
        return new Quotas.Packet(
                "n0", life, generation, view, 1, new ArrayList<>(List.of(new Quotas.Entry("t", total, -1))));
    }

    @Test
    public void noUnitIsCountedTwiceInAnyOrder() {
        View view = View.of(List.of(new Session("n0", "10.0.0.1", "z", 2), new Session("n1", "10.0.0.2", "z", 1)));
        int plays = Orders.all(10_000, orders -> {
            Quotas quotas = new Quotas("n1", 1, false, 0);
            quotas.view(view, 0);
            List<Quotas.Packet> old =
                    new ArrayList<>(List.of(packet(1, 1, view.tag(), 3), packet(1, 2, view.tag() + 1, 2)));
            List<Quotas.Packet> next = new ArrayList<>(
                    List.of(packet(2, 1, view.tag() + 1, 4), packet(2, 2, view.tag(), 1), packet(2, 2, view.tag(), 1)));
            quotas.take(packet(1, 1, view.tag(), 3), name -> TENANT, NOW); // it was known before it was late
            while (old.size() + next.size() > 0) {
                int which = orders.pick(old.size() + next.size());
                quotas.take(
                        which < old.size() ? old.remove(which) : next.remove(which - old.size()), name -> TENANT, NOW);
            }
            double counted = quotas.counted(TENANT, NOW);
            assertTrue(counted >= 4 && counted <= 3 + 2 + 4 + 1, counted + " counted of 10");
        });
        assertEquals(plays, 120);
    }
}
