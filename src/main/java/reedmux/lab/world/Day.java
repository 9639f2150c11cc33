package reedmux.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** A drawn day of a deployment: traffic, changes of the configuration, troubles, perhaps a closing fault. */
public final class Day {
    private static final long SECOND = 1_000_000;
    private static final long LEAD = 6 * SECOND;
    private static final long LENGTH = 26 * SECOND;
    private static final long STORM_LENGTH = 60 * SECOND;
    private static final long AFTER = 19 * SECOND;
    private static final long RECOVERY = 15 * SECOND;
    private static final int CHECKERS = 12;
    private static final int SURGE = 8;
    private static final long SURGE_PACE = 25_000;
    private static final int ZONES = 3;
    private final World world;
    private final Deployment deployment;
    private final InvariantChecker watch = new InvariantChecker();
    private final Settings settings;
    private final Clients clients;
    private final List<Operator> operators = new ArrayList<>();
    private final List<CheckerActor> checkers = new ArrayList<>();
    private final List<String> story = new ArrayList<>();
    private final Random random;
    private final Consumer<String> log;
    private final Shape shape;
    private long begin;
    private int checkerNumber;
    private long coreFreeAt;
    /** What is done once a change has been acknowledged. */
    private Runnable afterAck;
    /** What is done to the machine that has acknowledged a drain. */
    private Consumer<Deployment.Node> afterDrain;

    /**
     * How a day went.
     *
     * @param story the troubles, with seconds from the start of traffic
     */
    public record Outcome(
            long seed,
            List<String> broken,
            List<String> story,
            long digest,
            long asked,
            long served,
            long events,
            long simulated) {}

    /**
     * What all days of a run have in common.
     *
     * @param pace  requests a second for each proxy
     * @param storm operators change things that cannot stand together, all the time, while the core is in
     *              trouble
     * @param point 1 to 5: a long day full of what the operators' point of that number tells of; 0: a day of
     *              the usual kind
     * @param readdresses whether core machines are replaced at other addresses, too
     */
    public record Shape(int proxies, int cores, double pace, boolean storm, int point, boolean readdresses) {

        public Shape(int proxies, int cores, double pace, boolean storm) {
            this(proxies, cores, pace, storm, 0, false);
        }
    }

    private Day(long seed, Shape shape, Consumer<String> log) {
        this.log = log;
        this.shape = shape;
        world = new World(seed);
        random = new Random(seed * 31 + 7);
        deployment = new Deployment(world, shape.proxies(), shape.cores(), log);
        settings = new Settings(random);
        clients = new Clients(world, deployment, watch);
        watch.quota(Settings.RATE, Settings.BURST);
        deployment.onEnd(watch::endedByItself);
        for (int i = 0; i < 2; i++) {
            operators.add(new Operator(world, "10.8.0." + (i + 1), deployment.control(), watch));
        }
    }

    /** Plays one; {@code log} hears what the processes write. */
    public static Outcome play(long seed, Shape shape, Consumer<String> log) {
        return new Day(seed, shape, log).play(seed);
    }

    void tell(String what) {
        String line = String.format("%.3f %s", (world.now() - begin) / 1e6, what);
        story.add(line);
        log.accept("day: " + line);
    }

    private Outcome play(long seed) {
        begin = world.now() + LEAD;
        deployment.start();
        long sync = new long[] {500, 2_000, 10_000}[random.nextInt(3)];
        deployment.cores().forEach(core -> core.machine().disk().syncTakes(sync));
        int many = Math.max(CHECKERS, deployment.edges().size());
        for (int i = 0; i < many; i++) {
            checker(
                    new Machine(world, "10.3." + i / 200 + '.' + (1 + i % 200), Deployment.ZONES[i % ZONES], false),
                    i % 2);
        }
        operators.get(0).adjust(settings.first(), InvariantChecker.Proper.VALID, Settings::shows, status -> {});
        world.run(LEAD);
        long length = shape.point() > 0 ? STORM_LENGTH : LENGTH;
        long end = begin + length;
        traffic(end + AFTER + SECOND);
        probes(end + AFTER);
        if (shape.point() > 0) {
            new Storm(this, shape.point(), shape.readdresses(), world, deployment, watch, settings, operators, random)
                    .begin(end);
        } else {
            changes(end - SECOND);
            troubles(end - 2 * SECOND);
        }
        world.run(length);
        String rule = "CONFIG";
        if (random.nextInt(3) == 0 && world.now() >= coreFreeAt) {
            rule = "LOST";
            operators.get(0).adjust(settings.change(), InvariantChecker.Proper.VALID, Settings::shows, status -> {
                if (status == 200) {
                    close();
                }
            });
        }
        world.run(AFTER);
        if (rule.equals("LOST")) {
            watch.recovered(clients.askedSince(), clients.servedSince());
        }
        String[] read = {null};
        long[] sentAt = {0};
        operators.get(0).read(world.now() + 3 * SECOND, (text, since) -> {
            read[0] = text;
            sentAt[0] = since;
        });
        world.run(6 * SECOND);
        watch.readBack(read[0], rule, sentAt[0]);
        watch.end();
        world.saw(String.valueOf(read[0]));
        return new Outcome(
                seed,
                watch.broken(),
                story,
                world.digest(),
                watch.asked(),
                watch.served(),
                world.events(),
                world.now() - begin + LEAD);
    }

    // ---- What goes on all day ----------------------------------------------------------------------
    private void checker(Machine machine, int service) {
        String id = "i-" + checkerNumber++;
        CheckerActor[] made = {null};
        made[0] = new CheckerActor(
                world,
                machine,
                id,
                Settings.SERVICES[service],
                deployment.control(),
                watch,
                () -> checkers.remove(made[0]),
                this::drainAcked);
        checkers.add(made[0]);
    }

    private void drainAcked(String ip) {
        Consumer<Deployment.Node> then = afterDrain;
        if (then != null && world.now() >= coreFreeAt) {
            afterDrain = null;
            deployment.cores().stream()
                    .filter(core -> core.machine().ip().equals(ip))
                    .forEach(then);
        }
    }

    private void traffic(long until) {
        clients.request(settings.wish());
        if (world.now() < until) {
            double mean = SECOND / (shape.pace() * deployment.edges().size());
            world.after((long) (-Math.log(1 - random.nextDouble()) * mean), () -> traffic(until));
        }
    }

    private void probes(long until) {
        clients.probe(
                deployment.edges().get(random.nextInt(deployment.edges().size())), settings.probe(), settings::swapped);
        if (world.now() < until) {
            world.after(400_000 / deployment.edges().size(), () -> probes(until));
        }
    }

    private void changes(long until) {
        if (world.now() > until) {
            return;
        }
        switch (shape.storm() ? Math.min(2, 1 + random.nextInt(6) / 5) : random.nextInt(6)) {
            case 0 ->
                operators
                        .get(1)
                        .adjust(settings.invalid(), InvariantChecker.Proper.INVALID, Settings::shows, status -> {});
            case 1 -> {
                var pair = settings.pair();
                for (int i = 0; i < 2; i++) {
                    operators
                            .get(i)
                            .adjust(
                                    pair.getValue().get(i),
                                    pair.getKey() ? InvariantChecker.Proper.VALID : InvariantChecker.Proper.EITHER,
                                    Settings::shows,
                                    status -> {});
                }
            }
            default ->
                operators.get(0).adjust(settings.change(), InvariantChecker.Proper.VALID, Settings::shows, status -> {
                    Runnable then = afterAck;
                    if (status == 200 && then != null) {
                        afterAck = null;
                        then.run();
                    }
                });
        }
        boolean soon = random.nextInt(8) == 0;
        long pause = shape.storm()
                ? soon ? 10_000 : 50_000 + random.nextInt(300_000)
                : soon ? 100_000 : 400_000 + random.nextInt(1_400_000);
        world.after(pause, () -> changes(until));
    }

    // ---- Troubles ----------------------------------------------------------------------------------
    private void troubles(long until) {
        if (world.now() > until) {
            return;
        }
        int kind = random.nextInt(shape.storm() ? 11 : 24);
        if (kind < 11 || kind > 21) {
            if (world.now() >= coreFreeAt) {
                core(kind);
            }
        } else if (kind < 17) {
            edge(kind);
        } else {
            ofCheckers(kind);
        }
        world.after(SECOND + random.nextInt(3_000_000), () -> troubles(until));
    }

    private Deployment.Node any(List<Deployment.Node> nodes) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    /** A core machine is in trouble for so long; no other is to be before it is whole again. */
    void coreTrouble(Deployment.Node node, long length, boolean half) {
        watch.coreTrouble(world.now(), world.now() + length, half);
        if (node != null) {
            watch.trouble(node.name(), world.now(), world.now() + length);
            watch.trouble(node.machine().ip(), world.now(), world.now() + length);
        }
        coreFreeAt = Math.max(coreFreeAt, world.now() + length + 5 * SECOND);
    }

    /** Whether the core has been whole for so long that more may be lost. */
    boolean coreFree() {
        return world.now() >= coreFreeAt;
    }

    /** The core is as good as whole so long after it is back. */
    void coreFreeAt(long time) {
        coreFreeAt = time;
    }

    /** The next one that has acknowledged that a checker leaves is handed over. */
    void afterDrain(Consumer<Deployment.Node> then) {
        afterDrain = then;
    }

    /** A checker leaves, serves on for longer than it has to, and another comes in its place. */
    void drain(CheckerActor one, long longer) {
        tell(one.id() + " leaves and serves on for " + longer / 1000 + " ms more");
        one.drain(longer);
        again(one, one.machine(), random.nextInt(2));
    }

    List<CheckerActor> checkers() {
        return checkers;
    }

    private void core(int kind) {
        Deployment.Node node = any(deployment.cores());
        long length = SECOND + random.nextInt(3_500_000);
        switch (kind) {
            case 0 -> {
                tell(node.name() + " is killed for " + length / 1000 + " ms");
                coreTrouble(node, length + SECOND, false);
                node.kill(length);
            }
            case 1 -> {
                tell("all of the core is killed");
                coreTrouble(null, 2 * SECOND, true);
                deployment.cores().forEach(core -> core.kill(300_000 + random.nextInt(600_000)));
            }
            case 2, 3 -> {
                boolean wiped = kind == 3;
                coreFreeAt = world.now() + 10 * SECOND;
                afterAck = () -> {
                    tell(node.name() + " loses power" + (wiped ? " and its disk" : "") + " after a 200");
                    coreTrouble(node, length + SECOND, false);
                    node.losePower(length, wiped);
                };
            }
            case 4, 5, 6 -> {
                tell(node.name() + " is cut off, way " + kind + ", " + length / 1000 + " ms");
                coreTrouble(node, length, false);
                cutOff(node, length, kind != 6, kind != 5, random.nextBoolean());
            }
            case 22 -> {
                boolean all = random.nextBoolean();
                afterDrain = acked -> {
                    tell(
                            all
                                    ? "all of the core is killed after a drain was acknowledged"
                                    : acked.name() + " loses power after it has acknowledged a drain");
                    if (all) {
                        coreTrouble(null, 2 * SECOND, true);
                        deployment.cores().forEach(core -> core.kill(500_000));
                    } else {
                        coreTrouble(acked, length + SECOND, false);
                        acked.losePower(length, false);
                    }
                };
                if (!checkers.isEmpty()) {
                    ofCheckers(18);
                }
            }
            case 7 -> {
                tell(node.name() + " has a slow disk");
                coreTrouble(node, length, false);
                node.machine().disk().syncTakes(60_000);
                world.after(length, () -> node.machine().disk().syncTakes(1_000));
            }
            case 8 -> {
                tell(node.name() + " has a full disk");
                coreTrouble(node, length, false);
                node.machine().disk().full(true);
                world.after(length, () -> node.machine().disk().full(false));
            }
            case 9 -> {
                tell(node.name() + " has a disk that hangs");
                coreTrouble(node, length, false);
                node.machine().disk().hangsUntil(world.now() + length);
            }
            default -> {
                tell(node.name() + " is frozen for " + length / 1000 + " ms");
                coreTrouble(node, length, false);
                node.freeze(length);
            }
        }
    }

    /** Between a machine and others of the system nothing goes out, comes in, or neither. */
    private void cutOff(Deployment.Node node, long length, boolean out, boolean in, boolean coreOnly) {
        List<Deployment.Node> others = new ArrayList<>(deployment.cores());
        if (!coreOnly) {
            others.addAll(deployment.edges());
        }
        others.remove(node);
        for (Deployment.Node other : others) {
            if (out) {
                world.cut(node.machine(), other.machine());
            }
            if (in) {
                world.cut(other.machine(), node.machine());
            }
        }
        world.after(
                length,
                () -> others.forEach(other -> {
                    world.join(node.machine(), other.machine());
                    world.join(other.machine(), node.machine());
                }));
    }

    private void edge(int kind) {
        Deployment.Node node = any(deployment.edges());
        long length = SECOND + random.nextInt(3_500_000);
        switch (kind) {
            case 11 -> {
                tell(node.name() + " is killed");
                watch.trouble(node.name(), world.now(), world.now() + length + SECOND);
                node.kill(length);
            }
            case 12 -> {
                tell("half of the proxies are killed");
                for (Deployment.Node each : deployment.edges()) {
                    if (random.nextBoolean()) {
                        watch.trouble(each.name(), world.now(), world.now() + 2 * SECOND);
                        each.kill(SECOND);
                    }
                }
            }
            case 13 -> roll(0, Math.max(2, deployment.edges().size() / 3));
            case 14 -> {
                tell(node.name() + " is cut off");
                watch.trouble(node.name(), world.now(), world.now() + length);
                cutOff(node, length, true, true, false);
            }
            case 15 -> {
                tell(node.name() + " is frozen");
                watch.trouble(node.name(), world.now(), world.now() + length);
                node.freeze(length);
            }
            default -> {
                tell(node.name() + " loses power");
                watch.trouble(node.name(), world.now(), world.now() + length + SECOND);
                node.losePower(length, false);
            }
        }
    }

    private void roll(int from, int many) {
        if (from < many) {
            Deployment.Node node = deployment.edges().get(from);
            tell(node.name() + " is told to end");
            watch.trouble(node.name(), world.now() + 6 * SECOND, world.now() + 8 * SECOND);
            node.term(300_000);
            world.after(1_300_000, () -> roll(from + 1, many));
        }
    }

    private void ofCheckers(int kind) {
        if (checkers.size() < 5) {
            return;
        }
        CheckerActor one = checkers.get(random.nextInt(checkers.size()));
        Machine machine = one.machine();
        int service = random.nextInt(2);
        if (one.draining()) {
            return;
        }
        switch (kind) {
            case 17 -> {
                tell(one.id() + " crashes");
                one.crash();
                world.after(2 * SECOND, () -> checker(machine, service));
            }
            case 18, 19 -> {
                tell(one.id() + " leaves, and its address goes to another");
                one.drain();
                again(one, machine, service);
            }
            case 20 -> {
                if (random.nextBoolean()) {
                    tell("one tenant sends many times its usual");
                    surge(settings.wish().tenant(), world.now() + 5 * SECOND);
                    return;
                }
                tell("answers are lost");
                checkers.forEach(checker -> checker.loses(0.04));
                world.after(4 * SECOND, () -> checkers.forEach(checker -> checker.loses(0)));
            }
            default -> {
                tell(one.id() + " is killed, and its address goes to another at once");
                one.crash();
                world.after(SECOND * 2, () -> checker(machine, 1 - service));
            }
        }
    }

    void surge(String tenant, long until) {
        for (int i = 0; i < SURGE; i++) {
            clients.request(settings.wish(tenant));
        }
        if (world.now() < until) {
            world.after(SURGE_PACE, () -> surge(tenant, until));
        }
    }

    private void again(CheckerActor before, Machine machine, int service) {
        world.after(2 * SECOND, () -> {
            if (before.alive()) {
                again(before, machine, service);
            } else {
                checker(machine, service);
            }
        });
    }

    /** The closing fault, right after an acknowledgement. */
    private void close() {
        List<Deployment.Node> all = new ArrayList<>(deployment.cores());
        all.addAll(deployment.edges());
        long back = 500_000 + random.nextInt(1_500_000);
        int kind = random.nextInt(3);
        Deployment.Node wiped = kind == 2 ? any(deployment.cores()) : null;
        tell(
                kind == 0
                        ? "all processes are killed"
                        : "all lose power" + (wiped == null ? "" : ", and " + wiped.name() + " its disk"));
        watch.coreTrouble(world.now(), world.now() + back + SECOND, true);
        for (Deployment.Node node : all) {
            watch.trouble(node.name(), world.now(), world.now() + back + SECOND);
            if (kind == 0) {
                node.kill(back);
            } else {
                node.losePower(back, node == wiped);
            }
        }
        world.after(back + RECOVERY, clients::countFromNow);
    }
}
