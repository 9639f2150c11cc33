package reedmux.lab.world;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reedmux.lab.stage.Asker;
import reedmux.message.Head;

/** Clients of all zones, the platform that spreads them, and the probes that it sends to each proxy. */
final class Clients {
    private static final long SECOND = 1_000_000;
    private static final long DEADLINE = 1_500_000;
    private static final int MISSES = 2;
    private static final int TRIES = 3;
    private final World world;
    private final Deployment deployment;
    private final InvariantChecker watch;
    private final Host host;
    private final Map<String, Integer> missed = new HashMap<>();
    private long numbers;
    private long askedSince;
    private long servedSince;
    private long since = Long.MAX_VALUE;

    /**
     * A request that may be made.
     *
     * @param tenant    whose key it has
     * @param routeItem the item by which it is judged what a probe of its route shows
     * @param keyItem   the item by which it is judged what a probe of its key shows
     */
    record Wish(
            String path,
            boolean repeatable,
            String key,
            String tenant,
            String service,
            String routeItem,
            String keyItem) {}

    Clients(World world, Deployment deployment, InvariantChecker watch) {
        this.world = world;
        this.deployment = deployment;
        this.watch = watch;
        host = new Host(world, new Machine(world, "10.9.0.1", Deployment.ZONES[1], false), "clients", 0, line -> {});
        platform();
    }

    // ---- The platform ------------------------------------------------------------------------------
    private void platform() {
        for (Deployment.Node edge : deployment.edges()) {
            ask(() -> new Asker(
                    host.reactor(),
                    deployment.ready(edge),
                    Asker.request("GET", "/v1/readiness", "ready", ""),
                    SECOND,
                    (status, head, text) -> {
                        missed.merge(edge.name(), 1, (had, one) -> status == 200 ? 0 : had + 1);
                        if (status == 200) {
                            watch.ready(edge.name(), edge.bornAt(), world.now());
                        }
                    }));
        }
        world.after(SECOND, this::platform);
    }

    private interface Call {
        void make() throws IOException;
    }

    private void ask(Call call) {
        host.reactor().execute(() -> {
            try {
                call.make();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    boolean in(Deployment.Node edge) {
        return missed.getOrDefault(edge.name(), MISSES) < MISSES;
    }

    private Deployment.Node pick() {
        String zone = Deployment.ZONES[world.random().nextInt(Deployment.ZONES.length)];
        List<Deployment.Node> here = new ArrayList<>();
        List<Deployment.Node> up = new ArrayList<>();
        for (Deployment.Node edge : deployment.edges()) {
            if (edge.machine().zone().equals(zone)) {
                here.add(edge);
                if (in(edge)) {
                    up.add(edge);
                }
            }
        }
        if (up.isEmpty()) {
            deployment.edges().stream().filter(this::in).forEach(up::add);
        } else if (up.size() * 2 < here.size()) {
            up = here;
        }
        List<Deployment.Node> all = up.isEmpty() ? deployment.edges() : up;
        return all.get(world.random().nextInt(all.size()));
    }

    // ---- Requests ----------------------------------------------------------------------------------
    /** From now on what is asked and served is counted. */
    void countFromNow() {
        since = world.now();
    }

    long askedSince() {
        return askedSince;
    }

    long servedSince() {
        return servedSince;
    }

    /** A client makes a request, with its further tries. */
    void request(Wish wish) {
        boolean counted = world.now() >= since;
        askedSince += counted ? 1 : 0;
        request(wish, "q" + ++numbers, 1, world.now() + DEADLINE, good -> servedSince += counted && good ? 1 : 0);
    }

    private void request(Wish wish, String name, int number, long deadline, Consumer<Boolean> done) {
        Deployment.Node edge = pick();
        String id = name + '.' + number;
        watch.sent(id, edge.name(), wish.repeatable, wish.tenant, wish.service, wish.routeItem, world.now());
        long begun = world.now();
        send(edge, wish, id, deadline, (status, head, text) -> {
            told(edge, id, status, head, text, begun);
            boolean again = status == 429
                    || status == 503
                    || wish.repeatable && status != 200 && status != 401 && status != 404;
            if (!again || number >= TRIES || world.now() + 50_000 > deadline) {
                done.accept(status == 200);
                return;
            }
            String after = head == null ? null : head.get("Retry-After");
            long pause = after == null
                    ? 50_000
                    : Math.min((long) (Double.parseDouble(after) * SECOND), (deadline - world.now()) / 3);
            world.after(pause, () -> request(wish, name, number + 1, deadline, done));
        });
    }

    private void told(Deployment.Node edge, String id, int status, Head head, String text, long begun) {
        world.saw(id + ' ' + status);
        if (status == 0) {
            watch.lost(id, text.equals("cut off") || text.contains("reset"), edge.leaving(), world.now());
            return;
        }
        String seal = head.get("Reedmux-Server-Seal");
        String own = seal != null && text.startsWith(seal + ' ') && text.endsWith(' ' + id) ? seal : null;
        watch.answered(id, status, own, world.now());
    }

    private void send(Deployment.Node edge, Wish wish, String id, long deadline, Asker.Done done) {
        List<String> headers = new ArrayList<>(List.of(
                "Reedmux-Attempt-Id: " + id + "\r\n",
                "Reedmux-Time-Left-Ms: " + Math.max(1, (deadline - world.now()) / 1000) + "\r\n"));
        headers.add("Authorization: Bearer " + wish.key + "\r\n");
        byte[] bytes = Asker.request(
                wish.repeatable ? "GET" : "POST",
                wish.path,
                "h.example",
                wish.repeatable ? "" : "some body",
                headers.toArray(new String[0]));
        ask(() -> new Asker(host.reactor(), deployment.front(edge), bytes, deadline - world.now() + 20_000, done));
    }

    /** The platform sends one to a proxy that is in, to see which configuration is in force there. */
    void probe(Deployment.Node edge, Wish wish, Predicate<String> swapped) {
        if (!in(edge)) {
            return;
        }
        String id = "p" + ++numbers;
        String life = edge.life();
        watch.sent(id, edge.name(), true, null, null, null, world.now());
        long begun = world.now();
        send(edge, wish, id, begun + DEADLINE, (status, head, text) -> {
            told(edge, id, status, head, text, begun);
            if (!life.equals(edge.life()) || swapped.test(wish.routeItem)) {
                return;
            }
            if (status == 404) {
                watch.showed(
                        edge.name(),
                        life,
                        wish.routeItem,
                        InvariantChecker.NONE,
                        InvariantChecker.NONE::equals,
                        begun,
                        world.now());
            } else if (status == 401) {
                watch.showed(
                        edge.name(),
                        life,
                        wish.keyItem,
                        "no " + wish.key,
                        keys -> !keys.contains(wish.key),
                        begun,
                        world.now());
            } else if (status == 200) {
                String service = text.split(" ")[1];
                watch.showed(edge.name(), life, wish.routeItem, service, service::equals, begun, world.now());
                watch.showed(
                        edge.name(), life, wish.keyItem, wish.key, keys -> keys.contains(wish.key), begun, world.now());
            }
        });
    }
}
