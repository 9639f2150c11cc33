package reedmux.lab.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reedmux.item.Change;
import reedmux.item.Invalid;
import reedmux.item.Item;
import reedmux.lab.stage.Asker;

/** One operator: a call is sent unchanged to one registry after the other until its answer is clear. */
final class Operator {
    private static final long PATIENCE = 1_000_000;
    private static final long LONGEST = 12_000_000;
    private static final long PAUSE = 100_000;
    private static final long MOST_PAUSE = 800_000;
    private static final byte[] READ = Asker.request("GET", "/v1/Config.Read", "control", "");
    private final Host host;
    private final InvariantChecker watch;
    private final List<InetSocketAddress> control;
    /** Of clear answers, how many are lost on their way, and how much later such a call is sent again. */
    private double loses;

    private long again;
    private int underWay;
    private String lastAcked = "";
    /** Hears of each call of the operator whom it is sent to. */
    private Consumer<String> onSent = ip -> {};

    Operator(World world, String ip, List<InetSocketAddress> control, InvariantChecker watch) {
        host = new Host(world, new Machine(world, ip, Deployment.ZONES[0], false), "operator " + ip, 0, line -> {});
        this.watch = watch;
        this.control = control;
    }

    Machine machine() {
        return host.machine();
    }

    void loses(double share, long sentAgainAfter) {
        loses = share;
        again = sentAgainAfter;
    }

    void onSent(Consumer<String> hears) {
        onSent = hears;
    }

    /** The address of who has acknowledged the last call. */
    String lastAcked() {
        return lastAcked;
    }

    /** Calls that have no clear answer yet. */
    int underWay() {
        return underWay;
    }

    /** How a version shows in requests. */
    interface Shows {
        String of(Item item);
    }

    /** Sends a change; {@code done} hears the last status, 0 where it was given up. */
    void adjust(String body, InvariantChecker.Proper proper, Shows shows, Consumer<Integer> done) {
        List<Item> items;
        try {
            items = Change.read(body);
        } catch (Invalid e) {
            items = List.of(); // it cannot be read in full
        }
        long now = host.now();
        items.forEach(item -> watch.sentVersion(item, shows.of(item), now));
        underWay++;
        send(body, items, proper, now, PAUSE, null, status -> {
            underWay--;
            done.accept(status);
        });
    }

    private InetSocketAddress any() {
        return control.get(host.world().random().nextInt(control.size()));
    }

    /** Not the one that was called last, if there is another. */
    private InetSocketAddress another(InetSocketAddress last) {
        InetSocketAddress to = any();
        if (to.equals(last) && control.size() > 1) {
            to = control.get((control.indexOf(to) + 1) % control.size());
        }
        return to;
    }

    private void send(
            String body,
            List<Item> items,
            InvariantChecker.Proper proper,
            long since,
            long pause,
            InetSocketAddress last,
            Consumer<Integer> done) {
        InetSocketAddress to = another(last);
        onSent.accept(to.getAddress().getHostAddress());
        ask(to, Asker.post("/v1/Config.Adjust", body), (status, text) -> {
            host.world().saw("adjust " + status);
            lastAcked = status == 200 ? to.getAddress().getHostAddress() : lastAcked;
            boolean clear = status == 200 || status >= 400 && status < 500 && status != 408 && status != 429;
            if (clear && loses > 0 && host.world().random().nextDouble() < loses) {
                if (status == 200) {
                    watch.acked(items, proper, since, host.now());
                } else {
                    watch.refused(items, proper, true, since, host.now());
                }
                host.reactor().after(again, () -> send(body, items, proper, host.now(), PAUSE, to, done));
            } else if (status == 200) {
                watch.acked(items, proper, since, host.now());
                done.accept(status);
            } else if (clear) {
                watch.refused(items, proper, true, since, host.now());
                done.accept(status);
            } else if (host.now() - since > LONGEST) {
                watch.refused(items, proper, false, since, host.now());
                done.accept(0);
            } else {
                host.reactor()
                        .after(
                                pause,
                                () -> send(body, items, proper, since, Math.min(MOST_PAUSE, 2 * pause), to, done));
            }
        });
    }

    private interface Told {
        void told(int status, String text);
    }

    private void ask(InetSocketAddress to, byte[] call, Told told) {
        host.reactor().execute(() -> {
            try {
                new Asker(host.reactor(), to, call, PATIENCE, (status, head, text) -> told.told(status, text));
            } catch (IOException e) {
                told.told(0, e.getMessage());
            }
        });
    }

    /** Asks one machine once for all items, in the midst of the day. */
    void look() {
        long sentAt = host.now();
        ask(any(), READ, (status, text) -> {
            host.world().saw("read " + status);
            if (status == 200) {
                watch.read(text, sentAt);
            }
        });
    }

    /** Asks for all items again and again, for so long; hears when that was sent, and null for no answer. */
    void read(long until, BiConsumer<String, Long> done) {
        long sentAt = host.now();
        ask(any(), READ, (status, text) -> {
            if (status == 200) {
                done.accept(text, sentAt);
            } else if (host.now() > until) {
                done.accept(null, sentAt);
            } else {
                host.reactor().after(PAUSE, () -> read(until, done));
            }
        });
    }
}
