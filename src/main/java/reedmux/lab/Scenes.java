package reedmux.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import reedmux.lab.sim.QuickScenes;
import reedmux.lab.sim.RegionTables;
import reedmux.lab.sim.SizeScenes;
import reedmux.lab.world.CatchUp;

/** The scenes that can be run, by name. */
public final class Scenes {
    /** Plays a scene with the seeds from one to another. */
    private interface Scene {
        Claims run(Asked asked, Consumer<String> progress) throws IOException, InterruptedException;
    }

    /**
     * How a scene is to be run.
     *
     * @param first of the seeds
     * @param last  of the seeds; a scene in real time plays the first only
     * @param jar   the build to measure, or null for this one
     * @param other the build to compare it with, or null for this one
     * @param most  the largest size
     * @param folder where tables are kept, or null
     */
    public record Asked(long first, long last, Path jar, Path other, int most, Path folder) {}

    private static final int ROUNDS = 5;

    private record Known(String what, Scene scene) {}

    private static final Map<String, Known> ALL = new LinkedHashMap<>();

    static {
        ALL.put("region", new Known("two regions of real gatekeepers on loopback, 40 s", Scenes::region));
        ALL.put(
                "cost",
                new Known(
                        "CPU a request and heap of two builds, by turns, 3 min; --jar, --vs",
                        (asked, progress) -> CostScene.run(asked.jar, asked.other, ROUNDS, progress)));
        ALL.put(
                "region-service",
                new Known(
                        "service with and without a last resort, in virtual time",
                        (asked, progress) -> RegionTables.service(asked.first, asked.last, progress)));
        ALL.put(
                "quick-pool",
                new Known(
                        "one to eight quick providers on loopback: who is refused, 3 min",
                        (asked, progress) -> QuickPoolScene.run(progress)));
        ALL.put(
                "quick-pools",
                new Known(
                        "pools of 1 to 200 providers of 0.2 ms to 2 s: who is refused",
                        (asked, progress) -> QuickScenes.sweep(asked.first, asked.last, progress)));
        ALL.put(
                "services",
                new Known(
                        "three services in one gatekeeper, one flooded, hung, crowded; reloads," + " 90 s",
                        (asked, progress) ->
                                ServicesScene.run(Files.createTempDirectory("reedmux-services"), progress)));
        ALL.put(
                "upgrade",
                new Known(
                        "new versions take a gatekeeper's place under load, one dies, 40 s",
                        (asked, progress) -> UpgradeScene.run(Files.createTempDirectory("rx"), progress)));
        ALL.put(
                "sizes",
                new Known(
                        "14 and 100 gatekeepers: mass restart, lost zone, replacement; 1 min",
                        (asked, progress) -> SizeScenes.sweep(asked.first, asked.last, progress)));
        ALL.put(
                "capacity",
                new Known(
                        "the control side at growing sizes, in virtual time: powers and the sum at"
                                + " the operators' size, 2 min; --most, --out",
                        (asked, progress) -> CapacityScene.run(asked.most, asked.folder, progress)));
        ALL.put(
                "items",
                new Known(
                        "what one change costs at 30 to 100,000 items, 10 s",
                        (asked, progress) -> ItemScene.run(progress)));
        ALL.put(
                "catch-up",
                new Known(
                        "bytes and time until a core machine has all again, to 100,000 items",
                        (asked, progress) -> CatchUp.run(progress)));
        ALL.put(
                "region-storms",
                new Known(
                        "faults of all kinds against the rules, in virtual time",
                        (asked, progress) -> RegionTables.storms(asked.first, asked.last, progress)));
    }

    private Scenes() {}

    /** The scenes' names, each with what it shows. */
    public static Map<String, String> known() {
        Map<String, String> all = new LinkedHashMap<>();
        ALL.forEach((name, known) -> all.put(name, known.what));
        return all;
    }

    /**
     * Runs a scene, prints its claims and keeps them where {@code results} is not null.
     *
     * @return whether all claims hold
     */
    public static boolean run(String name, Asked asked, Path results, PrintStream out, Consumer<String> progress)
            throws IOException, InterruptedException {
        long begin = System.nanoTime();
        Claims claims = ALL.get(name).scene.run(asked, progress);
        claims.print(out);
        out.printf(
                "%s: %s, seeds %d to %d, %.1f s%n",
                name,
                claims.hold() ? "all claims hold" : "NOT ALL CLAIMS HOLD",
                asked.first,
                asked.last,
                (System.nanoTime() - begin) / 1e9);
        if (results != null) {
            claims.keep(results, name, "reedmux lab run " + name + " --seeds " + asked.first + ".." + asked.last);
        }
        return claims.hold();
    }

    private static Claims region(Asked asked, Consumer<String> progress) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("reedmux-region");
        Claims claims = RegionScene.run(folder, asked.first, progress);
        if (claims.hold()) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            progress.accept("the gatekeepers' logs stay in " + folder);
        }
        return claims;
    }
}
