import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operator raises the time-out of the uploads' route from 1.5 s to 11 s, under a steady flow of uploads that are
 * each answered within a fraction of a second.
 */
final class LongTimeouts {
    private static final int EDGES = 2;
    private static final int UPLOADERS_PER_EDGE = 8;
    private static final int UPLOADS_PER_S_AND_EDGE = Integer.getInteger("uploads", 16);
    private static final int UPLOAD_BYTES = Integer.getInteger("bytes", 360_000);
    private static final int ORDERERS_PER_EDGE = 10;
    private static final int TIME_LEFT_MS = 11_000;
    private static final int TRAFFIC_MS = Integer.getInteger("traffic", 56_000);

    private LongTimeouts() {}

    public static void main(String[] arguments) {
        Lab.run(arguments, EDGES, LongTimeouts::holds);
    }

    private static boolean holds(Lab lab) throws Exception {
        lab.startAll();
        Map<String, Checker> checkers = new ConcurrentHashMap<>();
        String[] zones = {"hall-a", "hall-b", "hall-c"};
        for (int i = 0; i < 6; i++) {
            String zone = zones[i % 3];
            checkers.put("i-desk" + i, new Checker(lab, "i-desk" + i, "desk", zone, lab.network + (50 + i), 6, 120, 1500));
            checkers.put("i-photo" + i,
                    new Checker(lab, "i-photo" + i, "intake", zone, lab.network + (60 + i), 6, 100, 1500));
        }
        lab.adjust(Lab.change(Lab.plant("desk"), Lab.plant("intake"),
                Lab.route("r-order", 1, "/order/", "effectful", 1500, "desk"),
                Lab.route("r-photo", 1, "/photo/", "inflow", 1500, "intake"),
                Lab.tenantAndBounds()));
        lab.awaitReady();
        Thread.sleep(4000);

        Traffic traffic = new Traffic(lab, checkers);
        long begins = lab.now();
        for (Lab.Machine edge : lab.edges) {
            for (int i = 0; i < UPLOADERS_PER_EDGE; i++) {
                int number = i;
                Checker.daemon(() -> traffic.upload(edge, number, begins));
            }
            for (int i = 0; i < ORDERERS_PER_EDGE; i++) {
                int number = i;
                Checker.daemon(() -> traffic.order(edge, number));
            }
        }
        lab.sleepUntil(begins + 6000);
        if (lab.trouble) {
            lab.adjust(Lab.change(Lab.route("r-photo", 2, "/photo/", "inflow", 11_000, "intake")));
        }
        lab.sleepUntil(begins + TRAFFIC_MS);
        traffic.stopped = true;
        Thread.sleep(2500);

        int ends = 0;
        for (Lab.Machine edge : lab.edges) {
            lab.say(edge.name + ": proxy ended by itself at (ms) " + edge.ownEnds);
            ends += edge.ownEnds.size();
            lab.noteLog(edge, "proxy", "OutOfMemoryError");
        }
        lab.say("orders answered " + traffic.answeredOrders + ", uploads answered " + traffic.answeredUploads
                + ", uploads with the longest time to an answer " + traffic.longestUploadMs + " ms");
        lab.say("requests on kept connections, passed on to a sound checker by a machine in touch, whose connection"
                + " was closed without an answer: " + traffic.lost.size() + " (the rule allows 3)");
        traffic.lost.forEach(lab::note);
        lab.say("processes that ended by themselves: " + ends);
        if (traffic.answeredOrders.get() == 0 || traffic.answeredUploads.get() == 0) {
            throw new IOException("no request was served");
        }
        return traffic.lost.size() <= 3;
    }

    /** The clients, and what they have seen. */
    private static final class Traffic {
        private final Lab lab;
        private final Map<String, Checker> checkers;
        private final AtomicInteger answeredOrders = new AtomicInteger();
        private final AtomicInteger answeredUploads = new AtomicInteger();
        private final AtomicLong longestUploadMs = new AtomicLong();
        private final List<String> lost = java.util.Collections.synchronizedList(new ArrayList<>());
        private volatile boolean stopped;

        private Traffic(Lab lab, Map<String, Checker> checkers) {
            this.lab = lab;
            this.checkers = checkers;
        }

        private void upload(Lab.Machine edge, int number, long begins) {
            byte[] body = new byte[UPLOAD_BYTES];
            Client client = null;
            for (int i = 0; !stopped; i++) {
                try {
                    lab.sleepUntil(begins + (number + (long) i * UPLOADERS_PER_EDGE) * 1000 / UPLOADS_PER_S_AND_EDGE);
                    client = client != null ? client : new Client(lab, lab.front(edge));
                    String id = edge.name + "-p" + number + "-" + i;
                    long sentAt = lab.now();
                    boolean kept = client.answered > 0;
                    Http.Message answer = client.request(id, "POST", "/photo/" + i, body, TIME_LEFT_MS);
                    if (answer != null && answer.status() == 200) {
                        answeredUploads.incrementAndGet();
                        longestUploadMs.accumulateAndGet(lab.now() - sentAt, Math::max);
                    }
                    client = afterwards(edge, client, id, answer, sentAt, kept);
                } catch (IOException e) {
                    client = drop(client);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void order(Lab.Machine edge, int number) {
            Client client = null;
            for (int i = 0; !stopped; i++) {
                try {
                    client = client != null ? client : new Client(lab, lab.front(edge));
                    String id = edge.name + "-o" + number + "-" + i;
                    long sentAt = lab.now();
                    boolean kept = client.answered > 0;
                    Http.Message answer = client.request(id, "POST", "/order/" + i, new byte[4000], 1500);
                    if (answer != null && answer.status() == 200) {
                        answeredOrders.incrementAndGet();
                    }
                    client = afterwards(edge, client, id, answer, sentAt, kept);
                    Thread.sleep(20);
                } catch (IOException e) {
                    client = drop(client);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private Client afterwards(
                Lab.Machine edge, Client client, String id, Http.Message answer, long sentAt, boolean kept) {
            if (answer == null) {
                boolean inTouch = sentAt > edge.startedAt + Lab.CONTACT_MS || edge.startedAt > sentAt;
                String checker = null;
                for (Checker one : checkers.values()) {
                    checker = one.arrivals.containsKey(id) ? one.id : checker;
                }
                String line = "client: " + id + ", sent at " + sentAt + " ms on a " + (kept ? "kept" : "new")
                        + " connection to " + edge.name + ": closed without an answer; passed on to " + checker;
                lab.note(line);
                if (kept && inTouch && checker != null) {
                    lost.add(line);
                }
            }
            return answer == null || answer.closes() ? drop(client) : client;
        }

        private Client drop(Client client) {
            try {
                Thread.sleep(100);
                if (client != null) {
                    client.close();
                }
            } catch (IOException | InterruptedException e) {
                lab.note("client: " + e);
            }
            return null;
        }
    }
}
