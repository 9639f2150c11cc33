package reedmux.lab.world;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

/**
 * What the control side costs at a size, in virtual time: the production programs without traffic, at rest,
 * while one proxy is restarted, and while each proxy is. Bytes and messages are those between the system's
 * own programs; time on the processor is that of the programs' code, without the kernel's sockets.
 */
public final class Growth {
    public static final List<String> PHASES = List.of("rest", "one", "roll");
    public static final List<String> ROLES = List.of("proxy", "registry", "store");
    private static final long SECOND = 1_000_000;
    private static final long SETTLE = 12 * SECOND;
    private static final long REST = 8 * SECOND;
    private static final long ONE = 6 * SECOND;
    private static final long ROLL = 20 * SECOND;
    private static final long ROLL_ENDS = 6 * SECOND;
    private static final long DOWN = 300_000;
    /** Beyond so many proxies they are not all restarted: it would take minutes. */
    private static final int MOST_ROLLED = 300;

    private final World world;
    private final Deployment deployment;

    /** How many of each there are. */
    public record Size(int proxies, int cores, int checkers) {}

    /** One role's median machine in one phase; bytes both ways, all by the second. */
    public record Row(
            Size size,
            String phase,
            String role,
            double seconds,
            double kilobytes,
            double messages,
            double events,
            double cpuMillis) {}

    private Growth(Size size) {
        world = new World(size.proxies() * 31L + size.cores());
        world.measure();
        deployment = new Deployment(world, size.proxies(), size.cores(), line -> {});
    }

    /** Plays one size. */
    public static List<Row> play(Size size) {
        return new Growth(size).played(size);
    }

    private List<Row> played(Size size) {
        InvariantChecker unheard = new InvariantChecker();
        deployment.start();
        for (int i = 0; i < size.checkers(); i++) {
            Machine machine = new Machine(
                    world,
                    "10.3." + i / 200 + '.' + (1 + i % 200),
                    Deployment.ZONES[i % Deployment.ZONES.length],
                    false);
            new CheckerActor(
                    world,
                    machine,
                    "i-" + i,
                    Settings.SERVICES[i % 2],
                    deployment.control(),
                    unheard,
                    () -> {},
                    ip -> {});
        }
        new Operator(world, "10.8.0.1", deployment.control(), unheard)
                .adjust(
                        new Settings(new Random(1)).first(),
                        InvariantChecker.Proper.VALID,
                        Settings::shows,
                        status -> {});
        world.run(SETTLE);
        List<Row> rows = new ArrayList<>();
        measure(rows, size, "rest", REST);
        deployment.edges().get(size.proxies() / 2).kill(DOWN);
        measure(rows, size, "one", ONE);
        if (size.proxies() > MOST_ROLLED) {
            return rows;
        }
        List<Deployment.Node> edges = deployment.edges();
        for (int i = 0; i < edges.size(); i++) {
            Deployment.Node edge = edges.get(i);
            world.after(i * ROLL / edges.size(), () -> edge.kill(DOWN));
        }
        measure(rows, size, "roll", ROLL + ROLL_ENDS);
        return rows;
    }

    private void measure(List<Row> rows, Size size, String phase, long length) {
        List<List<Load>> before = new ArrayList<>();
        ROLES.forEach(role -> before.add(loads(role)));
        world.run(length);
        for (int i = 0; i < ROLES.size(); i++) {
            List<Load> then = loads(ROLES.get(i));
            Load[] gone = new Load[then.size()];
            for (int at = 0; at < gone.length; at++) {
                gone[at] = then.get(at).less(before.get(i).get(at));
            }
            double seconds = length / 1e6;
            rows.add(new Row(
                    size,
                    phase,
                    ROLES.get(i),
                    seconds,
                    median(gone, load -> (load.sent + load.got) / 1e3) / seconds,
                    median(gone, load -> load.messages) / seconds,
                    median(gone, load -> load.events) / seconds,
                    median(gone, load -> load.nanos / 1e6) / seconds));
        }
    }

    private List<Load> loads(String role) {
        List<Load> all = new ArrayList<>();
        for (Deployment.Node node : role.equals("proxy") ? deployment.edges() : deployment.cores()) {
            all.add(new Load().less(new Load().less(node.machine().load(node.name() + '/' + role))));
        }
        return all;
    }

    private static double median(Load[] loads, ToDoubleFunction<Load> of) {
        double[] sorted = Arrays.stream(loads).mapToDouble(of).sorted().toArray();
        return sorted[sorted.length / 2];
    }
}
