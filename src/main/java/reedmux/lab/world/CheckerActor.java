package reedmux.lab.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import reedmux.lab.stage.Asker;
import reedmux.message.Calls;
import reedmux.message.Head;
import reedmux.net.Listener;

/** One life of a checker, on a machine whose address may have been another's before. */
final class CheckerActor {
    private static final long PERIOD = 1_500_000;
    private static final long PATIENCE = 1_000_000;
    private static final long DRAIN = 2_300_000;
    private static final long UNHEARD = 5_000_000;
    private static final int SLOTS = 3;
    private static final int QUEUE = 12;
    private static final int PORT = 8080;
    private final Host host;
    private final World world;
    private final InvariantChecker watch;
    private final String id;
    private final String service;
    private final List<InetSocketAddress> control;
    private final Runnable onEnd;
    /** Hears the address of who acknowledged that it leaves. */
    private final java.util.function.Consumer<String> onDrain;

    private final Deque<Runnable> queue = new ArrayDeque<>();
    private int busy;
    private boolean draining;
    private long drainingAt;
    private boolean drainAcked;
    private long seq;
    private int calls;
    /** Of its answers, how many are lost after it has run. */
    private double loses;

    private double misbehaves;
    /** How much longer it serves on once its leaving was acknowledged. */
    private long lingers;

    CheckerActor(
            World world,
            Machine machine,
            String id,
            String service,
            List<InetSocketAddress> control,
            InvariantChecker watch,
            Runnable onEnd,
            java.util.function.Consumer<String> onDrain) {
        this.world = world;
        this.watch = watch;
        this.id = id;
        this.service = service;
        this.control = control;
        this.onEnd = onEnd;
        this.onDrain = onDrain;
        calls = world.random().nextInt(control.size());
        host = new Host(world, machine, id, 0, line -> {});
        try {
            new Listener(
                    host.reactor(),
                    new InetSocketAddress(machine.ip(), PORT),
                    wire -> new Calls(host.reactor(), wire, this::serve));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        host.reactor().after(world.random().nextInt((int) PERIOD / 4), () -> beat(0));
        host.enter(() -> {});
    }

    String id() {
        return id;
    }

    Machine machine() {
        return host.machine();
    }

    boolean alive() {
        return host.alive();
    }

    boolean draining() {
        return draining;
    }

    void loses(double share) {
        loses = share;
    }

    /** A share of its answers comes late, twice, in part or not at all. */
    void misbehaves(double share) {
        misbehaves = share;
    }

    // ---- Requests ----------------------------------------------------------------------------------
    private void serve(Calls.Call call, Calls from) {
        Head head = call.head();
        String attempt = head.get("Reedmux-Attempt-Id");
        String target = head.get("Reedmux-Target-Instance");
        if (target != null && !target.equals(id)) {
            from.answer(Head.answer(421).add("Reedmux-Instance-Id", id), new byte[0]);
            return;
        }
        watch.arrived(attempt, service, host.now());
        if (attempt == null) {
            from.answer(Head.answer(400).add("Reedmux-Not-Executed", "1"), new byte[0]);
        } else if (busy < SLOTS) {
            work(head, attempt, from);
        } else if (queue.size() < QUEUE) {
            queue.add(() -> work(head, attempt, from));
        } else {
            from.answer(Head.answer(503).add("Reedmux-Not-Executed", "1"), new byte[0]);
        }
    }

    private void work(Head head, String attempt, Calls from) {
        busy++;
        watch.ran(attempt, id, service, head.get("Reedmux-Tenant"), host.now());
        world.saw(id + " runs " + attempt);
        host.reactor().after(40_000 + world.random().nextInt(80_000), () -> {
            if (world.random().nextDouble() < loses) {
                from.raw(new byte[0]);
            } else if (misbehaves > 0 && world.random().nextDouble() < misbehaves) {
                misbehave(attempt, from);
            } else {
                answer(attempt, from);
            }
            busy--;
            if (!queue.isEmpty()) {
                queue.poll().run();
            }
        });
    }

    private void answer(String attempt, Calls from) {
        from.answer(
                Head.answer(200).add("Reedmux-Attempt-Id", attempt).add("Reedmux-Server-Seal", id), content(attempt));
    }

    private byte[] content(String attempt) {
        return (id + ' ' + service + ' ' + attempt).getBytes(StandardCharsets.UTF_8);
    }

    private void misbehave(String attempt, Calls from) {
        byte[] whole = whole(attempt);
        switch (world.random().nextInt(6)) {
            case 0 -> host.reactor().after(500_000 + world.random().nextInt(2_500_000), () -> answer(attempt, from));
            case 1 -> from.raw(java.util.Arrays.copyOf(whole, 1 + world.random().nextInt(whole.length - 1)));
            case 2, 3 -> { // once more, at once or when the connection may carry another request
                answer(attempt, from);
                host.reactor()
                        .after(
                                world.random().nextInt(3) == 0
                                        ? 0
                                        : world.random().nextInt(60_000),
                                () -> from.unasked(whole));
            }
            case 4 -> {
                from.unasked("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                answer(attempt, from);
            }
            default -> {}
        }
    }

    private byte[] whole(String attempt) {
        byte[] content = content(attempt);
        byte[] head = Head.answer(200)
                .add("Reedmux-Attempt-Id", attempt)
                .add("Reedmux-Server-Seal", id)
                .add("Content-Length", Integer.toString(content.length))
                .bytes();
        byte[] all = java.util.Arrays.copyOf(head, head.length + content.length);
        System.arraycopy(content, 0, all, head.length, content.length);
        return all;
    }

    // ---- What it says of itself --------------------------------------------------------------------
    private void beat(int failed) {
        if (!host.alive()) {
            return;
        }
        boolean said = draining;
        String body =
                "{\"plant\":\"" + service + "\",\"address\":\"" + host.machine().ip() + ':' + PORT
                        + "\",\"zone\":\"" + host.machine().zone() + "\",\"revision\":\"v1\",\"capacity\":" + SLOTS
                        + ",\"phase\":\"" + (said ? "draining" : "ready") + "\",\"coldLeftMs\":0,\"seq\":" + ++seq
                        + '}';
        ask("/v1/Instances.Heartbeat/" + id, body, good -> {
            if (good && said && !drainAcked) {
                drainAcked = true;
                String by = control.get(calls % control.size()).getAddress().getHostAddress();
                watch.drainAcked(id, by, host.now());
                onDrain.accept(by);
                host.reactor().after(DRAIN + lingers, () -> leave(0));
            } else if (!good && failed < control.size()) {
                calls++;
                beat(failed + 1);
                return;
            } else if (said && !drainAcked) {
                if (host.now() - drainingAt > UNHEARD) {
                    watch.drainUnheard(drainingAt, host.now());
                    leave(0);
                    return;
                }
            }
            if (said == draining) {
                host.reactor().after(said && !drainAcked ? 200_000 : PERIOD, () -> beat(0));
            }
        });
    }

    private void leave(int failed) {
        ask("/v1/Instances.Leave/" + id, "{}", good -> {
            if (good || failed >= 3) {
                host.die();
                onEnd.run();
            } else {
                calls++;
                leave(failed + 1);
            }
        });
    }

    private void ask(String path, String body, java.util.function.Consumer<Boolean> done) {
        try {
            new Asker(
                    host.reactor(),
                    control.get(calls % control.size()),
                    Asker.post(path, body),
                    PATIENCE,
                    (status, head, text) -> done.accept(status / 100 == 2));
        } catch (IOException e) {
            done.accept(false);
        }
    }

    /** It is to leave in order, and serves on longer than it has to. */
    void drain(long longer) {
        lingers = longer;
        drain();
    }

    /** It is to leave in order. */
    void drain() {
        if (!draining) {
            draining = true;
            drainingAt = host.now();
            host.reactor().execute(() -> beat(0));
        }
    }

    /** It ends without a word. */
    void crash() {
        host.die();
        onEnd.run();
    }
}
