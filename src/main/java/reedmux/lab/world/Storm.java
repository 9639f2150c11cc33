package reedmux.lab.world;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.lab.world.InvariantChecker.Proper;

/**
 * What makes up a day that is named after one of the operators' five points: 1 contact with a majority, 2 one
 * number and one content, 3 losses right after a repair, 4 hundreds of changes past a machine that is away,
 * 5 answers of checkers that come late, twice or in part.
 */
final class Storm {
    private static final long SECOND = 1_000_000;
    private static final long LONG_CUT = 20 * SECOND;
    /** A machine that is back, or new, counts as lost for so long. */
    private static final long CONVERGENCE = 4 * SECOND;

    private static final int MOST_UNDER_WAY = 8;
    private final Day day;
    private final int point;
    private final World world;
    private final Deployment deployment;
    private final InvariantChecker watch;
    private final Settings settings;
    private final List<Operator> operators;
    private final Random random;
    private final boolean readdresses;
    /** Addresses that have been the core's, the newest last. */
    private final Set<String> addresses = new LinkedHashSet<>();

    private long until;
    private int replaced;
    private Runnable afterAck;
    private Consumer<Deployment.Node> afterSent;

    Storm(
            Day day,
            int point,
            boolean readdresses,
            World world,
            Deployment deployment,
            InvariantChecker watch,
            Settings settings,
            List<Operator> operators,
            Random random) {
        this.day = day;
        this.point = point;
        this.readdresses = readdresses;
        this.world = world;
        this.deployment = deployment;
        this.watch = watch;
        this.settings = settings;
        this.operators = operators;
        this.random = random;
    }

    void begin(long end) {
        until = end - SECOND;
        deployment.cores().forEach(core -> addresses.add(core.machine().ip()));
        for (Operator operator : operators) {
            operator.loses(point == 2 ? 0.2 : 0.03, SECOND + random.nextInt(point == 2 ? 15_000_000 : 4_000_000));
            operator.onSent(ip -> {
                Consumer<Deployment.Node> then = afterSent;
                if (then != null && day.coreFree()) {
                    afterSent = null;
                    deployment.cores().stream()
                            .filter(core -> core.machine().ip().equals(ip))
                            .findFirst()
                            .ifPresent(then);
                }
            });
        }
        changes();
        reads();
        world.after(SECOND, this::troubles);
    }

    // ---- The operators -----------------------------------------------------------------------------
    private void changes() {
        if (world.now() > until) {
            return;
        }
        if (operators.stream().mapToInt(Operator::underWay).sum() < MOST_UNDER_WAY) {
            change(operators.get(random.nextInt(operators.size())));
        }
        long mean = point == 4 ? 100_000 : point == 2 ? 150_000 : 400_000;
        world.after(mean / 2 + random.nextInt((int) mean), this::changes);
    }

    private void change(Operator one) {
        Operator other = operators.get(1 - operators.indexOf(one));
        int kind = random.nextInt(point == 2 ? 10 : 14);
        if (kind == 0) {
            adjust(one, settings.invalid(), Proper.INVALID, 0, () -> {});
        } else if (kind == 1) {
            var pair = settings.pair();
            Proper proper = pair.getKey() ? Proper.VALID : Proper.EITHER;
            adjust(one, pair.getValue().get(0), proper, 0, () -> {});
            adjust(other, pair.getValue().get(1), proper, later(20_000), () -> {});
        } else if (kind < 4 && point == 2) {
            List<String> pair = settings.sameNumber();
            adjust(one, pair.get(0), Proper.EITHER, 0, () -> {});
            adjust(
                    other,
                    pair.get(1),
                    Proper.EITHER,
                    random.nextBoolean() ? later(20_000) : later(5_000_000),
                    () -> {});
        } else if (kind < 6) {
            chain(one, settings.chain(), 0);
        } else if (kind == 6 && point == 4) {
            adjust(one, settings.large(), Proper.VALID, 0, () -> {});
        } else {
            adjust(one, settings.change(), Proper.VALID, 0, () -> {});
        }
    }

    /** Each is sent once the one before was acknowledged, to whomever. */
    private void chain(Operator operator, List<String> calls, int at) {
        if (at < calls.size()) {
            adjust(operator, calls.get(at), Proper.VALID, 0, () -> chain(operator, calls, at + 1));
        }
    }

    private void adjust(Operator operator, String body, Proper proper, long delay, Runnable acked) {
        world.after(
                delay,
                () -> operator.adjust(body, proper, Settings::shows, status -> {
                    if (status == 200) {
                        acked.run();
                        Runnable then = afterAck;
                        if (then != null && day.coreFree()) {
                            afterAck = null;
                            then.run();
                        }
                    }
                }));
    }

    private void reads() {
        operators.get(random.nextInt(operators.size())).look();
        if (world.now() < until) {
            world.after(100_000 + random.nextInt(300_000), this::reads);
        }
    }

    private long later(int most) {
        return random.nextInt(most);
    }

    // ---- Troubles ----------------------------------------------------------------------------------
    private void troubles() {
        if (world.now() > until - 2 * SECOND) {
            return;
        }
        if (day.coreFree() && afterAck == null && afterSent == null) {
            switch (point) {
                case 1 -> contact();
                case 2 -> orders();
                case 3 -> repairs();
                case 4 -> away();
                default -> answers();
            }
        }
        world.after(250_000 + later(500_000), this::troubles);
    }

    private Deployment.Node any() {
        return deployment.cores().get(random.nextInt(deployment.cores().size()));
    }

    private void contact() {
        long length = Math.min(random.nextInt(4) > 0 ? LONG_CUT : 3 * SECOND + later(17_000_000), until - world.now());
        switch (random.nextInt(8)) {
            case 0 -> freeze(any(), length);
            case 1 -> {
                day.tell("all of the core is killed");
                killCore(300_000 + later(600_000));
            }
            case 2, 3 -> cutOff(lastAcker(), length);
            case 4 -> afterAck = () -> cutOff(lastAcker(), length);
            default -> cutOff(any(), length);
        }
    }

    private Deployment.Node lastAcker() {
        String ip = operators.get(random.nextInt(operators.size())).lastAcked();
        return deployment.cores().stream()
                .filter(core -> core.machine().ip().equals(ip))
                .findFirst()
                .orElseGet(this::any);
    }

    private void freeze(Deployment.Node node, long length) {
        day.tell(node.name() + " is frozen for " + length / 1000 + " ms");
        day.coreTrouble(node, length, false);
        node.freeze(length);
    }

    private void killCore(long downFor) {
        day.coreTrouble(null, downFor + SECOND, true);
        deployment.cores().forEach(core -> core.kill(downFor));
    }

    /** Less than half of the core is alone with some proxies, of which some are started there. */
    private void cutOff(Deployment.Node first, long length) {
        cutOff(first, length, random.nextInt(4) == 0);
    }

    private void cutOff(Deployment.Node first, long length, boolean coreOnly) {
        List<Deployment.Node> side = new ArrayList<>(List.of(first));
        List<Deployment.Node> rest = new ArrayList<>(deployment.cores());
        rest.remove(first);
        if (deployment.cores().size() > 4 && random.nextBoolean()) {
            side.add(rest.remove(random.nextInt(rest.size())));
        }
        int alone = side.size();
        boolean out = random.nextInt(6) > 0;
        boolean in = !out || random.nextInt(6) > 0;
        List<Deployment.Node> edges = new ArrayList<>();
        for (Deployment.Node edge : coreOnly ? List.<Deployment.Node>of() : deployment.edges()) {
            boolean with = edge.machine().zone().equals(first.machine().zone()) || random.nextInt(8) == 0;
            (with ? edges : rest).add(edge);
        }
        side.addAll(edges);
        day.tell(side.stream().map(Deployment.Node::name).toList() + " are cut off for " + length / 1000 + " ms"
                + (out ? "" : ", not out") + (in ? "" : ", not in"));
        day.coreTrouble(null, length, false);
        for (Deployment.Node one : side) {
            watch.trouble(one.name(), world.now(), world.now() + length);
            watch.trouble(one.machine().ip(), world.now(), world.now() + length);
            if (out && in) {
                watch.minority(one.name(), world.now(), world.now() + length);
            }
            for (Deployment.Node other : rest) {
                if (out) {
                    world.cut(one.machine(), other.machine());
                }
                if (in) {
                    world.cut(other.machine(), one.machine());
                }
            }
        }
        world.after(
                length,
                () -> side.forEach(one -> rest.forEach(other -> {
                    world.join(one.machine(), other.machine());
                    world.join(other.machine(), one.machine());
                })));
        List<String> seeds = new ArrayList<>();
        side.subList(0, alone).forEach(core -> seeds.add(core.machine().ip()));
        seeds.add(rest.get(0).machine().ip());
        for (Deployment.Node edge : edges) {
            if (length > 4 * SECOND && random.nextBoolean()) {
                world.after(SECOND + later((int) (length - 3 * SECOND)), () -> {
                    day.tell(edge.name() + " is killed where it is cut off");
                    edge.seeds(random.nextBoolean() ? seeds : null);
                    edge.kill(500_000);
                });
            }
        }
    }

    private void orders() {
        long length = 500_000 + later(3_000_000);
        switch (random.nextInt(7)) {
            case 0, 1 ->
                afterSent = node -> world.after(later(4) == 0 ? later(2_000) : later(60_000), () -> {
                    day.tell(node.name() + " is killed with an order in its hands");
                    day.coreTrouble(node, length + SECOND, false);
                    node.kill(length);
                });
            case 2 ->
                afterSent = node -> world.after(later(30_000), () -> {
                    boolean wiped = random.nextInt(3) == 0;
                    day.tell(node.name() + " loses power with an order in its hands" + (wiped ? ", and its disk" : ""));
                    day.coreTrouble(node, length + SECOND, false);
                    node.losePower(length, wiped);
                });
            case 3 -> cutOff(any(), SECOND + later(4_000_000));
            case 4 -> freeze(any(), SECOND + later(19_000_000));
            case 5 ->
                afterAck = () -> {
                    day.tell("all of the core is killed after a 200");
                    killCore(300_000 + later(600_000));
                };
            default -> cutOff(lastAcker(), length);
        }
    }

    /** What comes next comes as soon as the machine before is whole by the rules. */
    private void repairs() {
        Deployment.Node node = any();
        long length = 500_000 + later(2_500_000);
        int kind = random.nextInt(readdresses ? 8 : 5);
        if (kind == 0) {
            afterAck = () -> powerOfAll(300_000 + later(600_000));
            return;
        }
        node.seeds(drawnSeeds(node));
        Deployment.Node edge =
                deployment.edges().get(random.nextInt(deployment.edges().size()));
        edge.seeds(drawnSeeds(node));
        watch.trouble(edge.name(), world.now(), world.now() + length + SECOND);
        day.coreTrouble(node, length + CONVERGENCE, false);
        edge.kill(length);
        if (kind < 4) {
            boolean wiped = kind > 1;
            day.tell(node.name() + " loses power" + (wiped ? " and its disk" : ""));
            node.losePower(length, wiped);
        } else if (kind == 4) {
            day.tell(node.name() + " is killed");
            node.kill(length);
        } else {
            String ip = "10.1." + deployment.cores().indexOf(node) + '.' + (11 + replaced++);
            boolean withDisk = kind == 5;
            day.tell(node.name() + " is replaced at " + ip + (withDisk ? " with its disk" : ""));
            addresses.add(ip);
            node.replace(ip, withDisk, length);
        }
        day.coreFreeAt(world.now() + length + CONVERGENCE);
    }

    /** Three that have been the core's, one of which at least is now and is not the one that ends. */
    private List<String> drawnSeeds(Deployment.Node ends) {
        List<String> all = new ArrayList<>(addresses);
        java.util.Collections.shuffle(all, random);
        List<Deployment.Node> others = new ArrayList<>(deployment.cores());
        others.remove(ends);
        String now = others.get(random.nextInt(others.size())).machine().ip();
        all.remove(now);
        all.add(random.nextInt(Math.min(3, all.size() + 1)), now);
        return all.subList(0, Math.min(3, all.size()));
    }

    private void powerOfAll(long downFor) {
        day.tell("all machines lose power");
        day.coreTrouble(null, downFor + SECOND, true);
        deployment.cores().forEach(core -> core.losePower(downFor, false));
        deployment.edges().forEach(edge -> {
            watch.trouble(edge.name(), world.now(), world.now() + downFor + SECOND);
            edge.losePower(downFor, false);
        });
    }

    private void away() {
        Deployment.Node node = any();
        long length = 12 * SECOND + later(8_000_000);
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> {
                int kind = random.nextInt(3);
                day.tell(node.name() + (kind == 0 ? " is killed" : kind == 1 ? " loses power" : " loses its disk")
                        + " for " + length / 1000 + " ms");
                day.coreTrouble(node, length + SECOND, false);
                if (kind == 0) {
                    node.kill(length);
                } else {
                    node.losePower(length, kind == 2);
                }
            }
            case 3 -> {
                day.tell("all of the core is killed");
                killCore(300_000 + later(600_000));
            }
            case 4 -> afterAck = () -> powerOfAll(300_000 + later(600_000));
            case 5 -> {
                day.tell(node.name() + " is killed, and its disk is full when it starts");
                day.coreTrouble(node, 6 * SECOND, false);
                node.machine().disk().full(true);
                node.kill(SECOND);
                world.after(5 * SECOND, () -> node.machine().disk().full(false));
            }
            case 6 -> {
                long slow = 2 * SECOND + later(4_000_000);
                day.tell(node.name() + " has a slow disk for " + slow / 1000 + " ms");
                day.coreTrouble(node, slow, false);
                node.machine().disk().syncTakes(60_000);
                world.after(slow, () -> node.machine().disk().syncTakes(1_000));
            }
            default -> freeze(node, length);
        }
    }

    private void answers() {
        long length = 2 * SECOND + later(4_000_000);
        CheckerActor one = day.checkers().isEmpty()
                ? null
                : day.checkers().get(random.nextInt(day.checkers().size()));
        switch (random.nextInt(8)) {
            case 0 -> cutOff(any(), length);
            case 1 -> freeze(any(), length);
            case 2, 3, 4 -> {
                if (one == null || one.draining() || day.checkers().size() < 5) {
                    return;
                }
                boolean cut = random.nextBoolean();
                day.afterDrain(acker -> {
                    if (cut) {
                        cutOff(acker, LONG_CUT / 2, true);
                    } else {
                        day.tell(acker.name() + " loses power after it has acknowledged a drain");
                        day.coreTrouble(acker, length + SECOND, false);
                        acker.losePower(length, false);
                    }
                });
                day.drain(one, 2 * SECOND + later(10_000_000));
                day.coreFreeAt(world.now());
            }
            case 5 -> {
                day.tell("one tenant sends many times its usual");
                day.surge(settings.wish().tenant(), world.now() + 5 * SECOND);
                day.coreFreeAt(world.now() + 4 * SECOND);
            }
            default -> {
                day.tell("checkers answer late, twice, in part or not at all");
                day.checkers().forEach(checker -> checker.misbehaves(0.05));
                day.coreFreeAt(world.now() + length);
                world.after(length, () -> day.checkers().forEach(checker -> checker.misbehaves(0)));
            }
        }
    }
}
