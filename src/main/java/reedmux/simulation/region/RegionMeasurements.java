package reedmux.simulation.region;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import reedmux.simulation.region.RegionScenarios.RegionRun;
import reedmux.simulation.region.RequestLedger.RegionService;
import reedmux.simulation.scenario.ScenarioChecks;

/** The measurements about regions in virtual time, as claims. */
public final class RegionMeasurements {
    private static final double[] GONE_SHARES = {0, 0.5, 0.9, 1};
    /** Virtual seconds of one storm. */
    private static final int STORM_SECONDS = 20;

    private RegionMeasurements() {}

    /** Service with and without a last resort as east's providers go; the mean over the seeds. */
    public static ScenarioChecks service(long first, long last, Consumer<String> progress) {
        ScenarioChecks claims = new ScenarioChecks();
        for (double gone : GONE_SHARES) {
            progress.accept("providers gone: " + gone);
            List<RegionRun> without = LongStream.rangeClosed(first, last)
                    .parallel()
                    .mapToObj(seed -> RegionScenarios.providersGone(seed, gone, false))
                    .toList();
            List<RegionRun> with = LongStream.rangeClosed(first, last)
                    .parallel()
                    .mapToObj(seed -> RegionScenarios.providersGone(seed, gone, true))
                    .toList();
            String share = Math.round(gone * 100) + "% gone: ";
            double before = share(without, "east");
            double after = share(with, "east");
            claims.record(share + "served in time without", text(before));
            claims.check(share + "served in time with a last resort", text(after), "no less", after >= before - 0.002);
            double west = share(with, "west");
            claims.check(
                    share + "the other region's own served in time",
                    text(west),
                    "without: " + text(share(without, "west")),
                    west >= share(without, "west") - 0.005);
            double most = with.stream()
                    .mapToDouble(r -> r.services().get("east").maxUnitsPerSecond())
                    .max()
                    .orElse(0);
            double bound = RegionScenarios.BUDGET.rate() + RegionScenarios.BUDGET.burst();
            claims.check(share + "most units away in any second", text(most), text(bound), most <= bound);
            long faults = with.stream()
                    .mapToLong(result -> result.violations().size())
                    .sum();
            claims.check(share + "rules broken", faults, 0, faults == 0);
        }
        progress.accept("the other region pressed");
        double alone = pressed(claims, "nobody sends there", first, last, false, true, 0);
        double blind = pressed(claims, "its intake is blind to its own", first, last, true, false, 0);
        pressed(claims, "its own come first", first, last, true, true, Math.max(blind, alone - 0.02));
        List<Long> returns = LongStream.rangeClosed(first, last)
                .parallel()
                .mapToObj(RegionScenarios::returnsAfter)
                .sorted()
                .toList();
        long longest = returns.get(returns.size() - 1);
        claims.check(
                "last crossing after the providers are back, s, median",
                text(returns.get(returns.size() / 2) / 1e6),
                "6",
                longest <= 6 * RegionWorld.SECOND);
        claims.check(
                "last crossing after the providers are back, s, longest",
                text(longest / 1e6),
                "6",
                longest <= 6 * RegionWorld.SECOND);
        return claims;
    }

    private static double pressed(
            ScenarioChecks claims,
            String what,
            long first,
            long last,
            boolean lastResort,
            boolean ownFirst,
            double bound) {
        List<RegionRun> results = LongStream.rangeClosed(first, last)
                .parallel()
                .mapToObj(seed -> RegionScenarios.pressed(seed, lastResort, ownFirst))
                .toList();
        double share = share(results, "west");
        String where = "other region at nine tenths, " + what + ": ";
        if (bound > 0) {
            claims.check(where + "its own served in time", text(share), text(bound), share >= bound);
        } else {
            claims.record(where + "its own served in time", text(share));
        }
        claims.record(where + "visitors' region served", text(share(results, "east")));
        long faults =
                results.stream().mapToLong(result -> result.violations().size()).sum();
        claims.check(where + "rules broken", faults, 0, faults == 0);
        return share;
    }

    /** Storms with faults until as many rejects were taken as is wanted. */
    public static ScenarioChecks storms(long first, long last, Consumer<String> progress) {
        long rejects = 0;
        long copies = 0;
        long faults = 0;
        long crossed = 0;
        long taken = 0;
        for (long from = first; from <= last; from += 100) {
            long to = Math.min(last, from + 99);
            List<RegionRun> results = LongStream.rangeClosed(from, to)
                    .parallel()
                    .mapToObj(seed -> RegionScenarios.storm(seed, STORM_SECONDS))
                    .toList();
            for (RegionRun result : results) {
                rejects += result.unsafeRequests();
                copies += result.duplicateRuns();
                faults += result.violations().size();
                taken += result.services().values().stream()
                        .mapToLong(RegionService::accepted)
                        .sum();
                crossed += result.services().values().stream()
                        .mapToLong(RegionService::forwarded)
                        .sum();
                result.violations().forEach(fault -> progress.accept("seed " + result.seed() + ": " + fault));
            }
            progress.accept(
                    "seeds to " + to + ": " + rejects + " rejects, " + copies + " copies, " + faults + " rules broken");
        }
        ScenarioChecks claims = new ScenarioChecks();
        claims.record("requests taken", taken);
        claims.check("requests that went to another region", crossed, "over 1000", crossed > 1_000);
        claims.check("rejects taken", rejects, "100000", rejects >= 100_000);
        claims.check("rejects that ran twice", copies, 0, copies == 0);
        claims.check("rules broken", faults, 0, faults == 0);
        return claims;
    }

    private static double share(List<RegionRun> results, String region) {
        return results.stream()
                .mapToDouble(result -> result.services().get(region).share())
                .average()
                .orElse(-1);
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
