package reedmux.proxy.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.common.quota.QuotaUpdate;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.control.configuration.TenantItem;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;
import reedmux.testing.ScheduleExplorer;

/** Updates of older generations and incarnations, in any order and duplicated, must not count a unit twice. */
public class QuotaUpdateOrderTest {
    private static final long NOW = 20_000_000;
    private static final TenantItem TENANT = new TenantItem("t", List.of("k"), 0, 65, 65);

    private static QuotaUpdate update(long incarnation, long generation, long viewDigest, double total) {
        return new QuotaUpdate(
                "n0",
                incarnation,
                generation,
                viewDigest,
                1,
                new ArrayList<>(List.of(new TenantTotal("t", total, -1))));
    }

    @Test
    public void countsNoUnitTwiceInAnyOrderOfGenerationsAndIncarnations() {
        SessionView view = SessionView.of(
                List.of(new ProxySession("n0", "10.0.0.1", "z", 2), new ProxySession("n1", "10.0.0.2", "z", 1)));
        int schedules = ScheduleExplorer.exploreAll(10_000, explorer -> {
            QuotaTracker tracker = new QuotaTracker("n1", 1, false, 0);
            tracker.onViewChange(view, 0);
            List<QuotaUpdate> oldUpdates =
                    new ArrayList<>(List.of(update(1, 1, view.digest(), 3), update(1, 2, view.digest() + 1, 2)));
            List<QuotaUpdate> newUpdates = new ArrayList<>(List.of(
                    update(2, 1, view.digest() + 1, 4),
                    update(2, 2, view.digest(), 1),
                    update(2, 2, view.digest(), 1)));
            // The first generation is known before its late duplicate arrives.
            tracker.onUpdate(update(1, 1, view.digest(), 3), name -> TENANT, NOW);
            while (oldUpdates.size() + newUpdates.size() > 0) {
                int choice = explorer.choose(oldUpdates.size() + newUpdates.size());
                tracker.onUpdate(
                        choice < oldUpdates.size()
                                ? oldUpdates.remove(choice)
                                : newUpdates.remove(choice - oldUpdates.size()),
                        name -> TENANT,
                        NOW);
            }
            double counted = tracker.countedUnits(TENANT, NOW);
            assertTrue(counted >= 4 && counted <= 3 + 2 + 4 + 1, counted + " units counted, expected 4 to 10");
        });
        assertEquals(schedules, 120);
    }
}
