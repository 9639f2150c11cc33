import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A checker leaves: its Instances.Leave is acknowledged, and it serves on for many seconds. Right after the
 * acknowledgement all processes are killed, and are back within a second with their disks.
 */
final class LeaveThenKill {
    private static final int EDGES = 2;
    private static final int CLIENTS_PER_EDGE = 10;
    private static final int KILL_AFTER_MS = Integer.getInteger("kill", 0);
    private static final int DOWN_MS = 900;
    private static final int SERVES_ON_MS = 16_000;

    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean stopped;

    public static void main(String[] arguments) {
        Lab.run(arguments, EDGES, lab -> new LeaveThenKill().holds(lab));
    }

    private boolean holds(Lab lab) throws Exception {
        lab.startAll();
        List<Checker> checkers = new ArrayList<>();
        String[] zones = {"hall-a", "hall-b", "hall-c"};
        for (int i = 0; i < 6; i++) {
            checkers.add(
                    new Checker(lab, "i-desk" + i, "desk", zones[i % 3], lab.network + (50 + i), 3, 90, 1500));
        }
        lab.adjust(Lab.change(
                Lab.plant("desk"), Lab.route("r-order", 1, "/order/", "effectful", 1500, "desk"), Lab.tenantAndBounds()));
        lab.awaitReady();
        Thread.sleep(4000);
        for (Lab.Machine edge : lab.edges) {
            for (int i = 0; i < CLIENTS_PER_EDGE; i++) {
                int number = i;
                Checker.daemon(() -> order(lab, edge, number));
            }
        }
        Thread.sleep(4000);

        Checker leaving = checkers.get(0);
        long leftAt = leaving.leave();
        long inTouchFrom = leftAt;
        if (lab.trouble) {
            lab.sleepUntil(leftAt + KILL_AFTER_MS);
            lab.kill(lab.all());
            Thread.sleep(DOWN_MS);
            lab.startAll();
            inTouchFrom = lab.now() + 2 * Lab.CONTACT_MS;
        }
        long from = Math.max(leftAt + Lab.DRAIN_MS, inTouchFrom);
        lab.sleepUntil(leftAt + SERVES_ON_MS);
        int before = served.get();
        leaving.end();
        Thread.sleep(1500);
        stopped = true;
        Thread.sleep(2000);

        int late = 0;
        int all = 0;
        for (Checker checker : checkers) {
            for (long at : checker.arrivals.values()) {
                all++;
                late += checker == leaving && at > from ? 1 : 0;
            }
        }
        lab.say("requests that arrived at a checker: " + all + "; answered with success: " + served.get() + ", "
                + (served.get() - before) + " of them after the checker's end");
        lab.say("Instances.Leave of " + leaving.id + " acknowledged at " + leftAt + " ms; machines in touch from "
                + inTouchFrom + " ms; requests that reached it later than " + from + " ms (drainMs is "
                + Lab.DRAIN_MS + "): " + late + " (the rule allows 0)");
        if (served.get() == before) {
            throw new IOException("no request was served");
        }
        return late == 0;
    }

    private void order(Lab lab, Lab.Machine edge, int number) {
        Client client = null;
        for (int i = 0; !stopped; i++) {
            try {
                client = client != null ? client : new Client(lab, lab.front(edge));
                String id = edge.name + "-o" + number + "-" + i;
                Http.Message answer = client.request(id, "POST", "/order/" + i, new byte[4000], 1500);
                if (answer != null && answer.status() == 200) {
                    served.incrementAndGet();
                }
                if (answer == null || answer.closes()) {
                    client.close();
                    client = null;
                }
                Thread.sleep(50);
            } catch (IOException e) {
                client = null;
                try {
                    Thread.sleep(200);
                } catch (InterruptedException interrupted) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
