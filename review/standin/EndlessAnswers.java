import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For five seconds, four of ten checkers spoil three in a hundred of their answers: such an answer does not end, but keeps
 * coming until the caller closes the connection. Only what went to the six others is counted as lost.
 */
final class EndlessAnswers {
    private static final int EDGES = 2;
    private static final int CLIENTS_PER_EDGE = 40;
    private static final int TROUBLE_MS = 5000;
    private static final int IN_TROUBLE = 4;
    private static final double SPOILT_SHARE = 0.03;
    private static final int TIME_LEFT_MS = 1500;

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final List<String> lost = Collections.synchronizedList(new ArrayList<>());
    private final List<Checker> checkers = new ArrayList<>();
    private volatile boolean stopped;

    public static void main(String[] arguments) {
        Lab.run(arguments, EDGES, lab -> new EndlessAnswers().holds(lab));
    }

    private boolean holds(Lab lab) throws Exception {
        lab.startAll();
        String[] zones = {"hall-a", "hall-b", "hall-c"};
        for (int i = 0; i < 10; i++) {
            checkers.add(new Checker(lab, "i-desk" + i, "desk", zones[i % 3], lab.network + (50 + i), 6, 120, 1500));
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
        if (lab.trouble) {
            for (int i = 0; i < IN_TROUBLE; i++) {
                checkers.get(i).spoiltShare = SPOILT_SHARE;
            }
            lab.note("trouble: " + IN_TROUBLE + " of 10 checkers spoil " + SPOILT_SHARE + " of their answers");
        }
        int before = sent.get();
        Thread.sleep(TROUBLE_MS);
        int during = sent.get() - before;
        checkers.forEach(checker -> checker.spoiltShare = 0);
        lab.note("trouble: ends");
        Thread.sleep(4000);
        stopped = true;
        Thread.sleep(2500);

        int spoilt = 0;
        for (Checker checker : checkers) {
            spoilt += checker.spoilt.size();
        }
        int ends = 0;
        for (Lab.Machine edge : lab.edges) {
            lab.say(edge.name + ": proxy ended by itself at (ms) " + edge.ownEnds);
            ends += edge.ownEnds.size();
            lab.noteLog(edge, "proxy", "OutOfMemoryError");
        }
        lab.say("requests sent " + sent.get() + ", in the five seconds " + during + ", answers spoilt " + spoilt
                + ", requests served " + served.get());
        lab.say("requests on kept connections, passed on to a sound checker by a machine in touch, whose connection"
                + " was closed without an answer: " + lost.size() + " (the rule allows 3)");
        lab.say("processes that ended by themselves: " + ends);
        if (served.get() == 0) {
            throw new IOException("no request was served");
        }
        return lost.size() <= 3;
    }

    private void order(Lab lab, Lab.Machine edge, int number) {
        Client client = null;
        for (int i = 0; !stopped; i++) {
            try {
                client = client != null ? client : new Client(lab, lab.front(edge));
                String id = edge.name + "-o" + number + "-" + i;
                long sentAt = lab.now();
                boolean kept = client.answered > 0;
                sent.incrementAndGet();
                Http.Message answer = client.request(id, "POST", "/order/" + i, new byte[4000], TIME_LEFT_MS);
                if (answer != null && answer.status() == 200) {
                    served.incrementAndGet();
                } else if (answer == null) {
                    onClosed(lab, edge, id, sentAt, kept);
                }
                if (answer == null || answer.closes()) {
                    client.close();
                    client = null;
                    Thread.sleep(100);
                }
                Thread.sleep(80);
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

    private void onClosed(Lab lab, Lab.Machine edge, String id, long sentAt, boolean kept) {
        Checker ranAt = null;
        for (Checker checker : checkers) {
            ranAt = checker.arrivals.containsKey(id) ? checker : ranAt;
        }
        boolean sound = checkers.indexOf(ranAt) >= IN_TROUBLE;
        boolean inTouch = sentAt > edge.startedAt + Lab.CONTACT_MS || edge.startedAt > sentAt;
        String line = "client: " + id + ", sent at " + sentAt + " ms on a " + (kept ? "kept" : "new")
                + " connection to " + edge.name + ": closed without an answer; passed on to "
                + (ranAt == null ? "nobody" : ranAt.id) + (sound ? ", a sound checker" : "");
        lab.note(line);
        if (kept && inTouch && sound) {
            lost.add(line);
        }
    }
}
