package reedmux.lab.sim;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import reedmux.lab.Claims;
import reedmux.lab.sim.Ledger.Service;
import reedmux.lab.sim.RegionScenes.Result;

/** The measurements about regions in virtual time, as claims. */
public final class RegionTables {
    private static final double[] GONE = {0, 0.5, 0.9, 1};
    /** Virtual seconds of one storm. */
    private static final int STORM = 20;

    private RegionTables() {}

    /** Service with and without a last resort as east's providers go; the mean over the seeds. */
    public static Claims service(long first, long last, Consumer<String> progress) {
        Claims claims = new Claims();
        for (double gone : GONE) {
            progress.accept("providers gone: " + gone);
            List<Result> without = LongStream.rangeClosed(first, last)
                    .parallel()
                    .mapToObj(seed -> RegionScenes.providersGone(seed, gone, false))
                    .toList();
            List<Result> with = LongStream.rangeClosed(first, last)
                    .parallel()
                    .mapToObj(seed -> RegionScenes.providersGone(seed, gone, true))
                    .toList();
            String share = Math.round(gone * 100) + "% gone: ";
            double before = share(without, "east");
            double after = share(with, "east");
            claims.note(share + "served in time without", text(before));
            claims.claim(share + "served in time with a last resort", text(after), "no less", after >= before - 0.002);
            double west = share(with, "west");
            claims.claim(
                    share + "the other region's own served in time",
                    text(west),
                    "without: " + text(share(without, "west")),
                    west >= share(without, "west") - 0.005);
            double most = with.stream()
                    .mapToDouble(r -> r.services().get("east").mostUnitsInASecond())
                    .max()
                    .orElse(0);
            double bound = RegionScenes.BUDGET.rate() + RegionScenes.BUDGET.burst();
            claims.claim(share + "most units away in any second", text(most), text(bound), most <= bound);
            long faults =
                    with.stream().mapToLong(result -> result.faults().size()).sum();
            claims.claim(share + "rules broken", faults, 0, faults == 0);
        }
        progress.accept("the other region pressed");
        double alone = pressed(claims, "nobody sends there", first, last, false, true, 0);
        double blind = pressed(claims, "its intake is blind to its own", first, last, true, false, 0);
        pressed(claims, "its own come first", first, last, true, true, Math.max(blind, alone - 0.02));
        List<Long> returns = LongStream.rangeClosed(first, last)
                .parallel()
                .mapToObj(RegionScenes::returnsAfter)
                .sorted()
                .toList();
        long longest = returns.get(returns.size() - 1);
        claims.claim(
                "last crossing after the providers are back, s, median",
                text(returns.get(returns.size() / 2) / 1e6),
                "6",
                longest <= 6 * World.SECOND);
        claims.claim(
                "last crossing after the providers are back, s, longest",
                text(longest / 1e6),
                "6",
                longest <= 6 * World.SECOND);
        return claims;
    }

    private static double pressed(
            Claims claims, String what, long first, long last, boolean lastResort, boolean ownFirst, double bound) {
        List<Result> results = LongStream.rangeClosed(first, last)
                .parallel()
                .mapToObj(seed -> RegionScenes.pressed(seed, lastResort, ownFirst))
                .toList();
        double share = share(results, "west");
        String where = "other region at nine tenths, " + what + ": ";
        if (bound > 0) {
            claims.claim(where + "its own served in time", text(share), text(bound), share >= bound);
        } else {
            claims.note(where + "its own served in time", text(share));
        }
        claims.note(where + "visitors' region served", text(share(results, "east")));
        long faults =
                results.stream().mapToLong(result -> result.faults().size()).sum();
        claims.claim(where + "rules broken", faults, 0, faults == 0);
        return share;
    }

    /** Storms with faults until as many rejects were taken as is wanted. */
    public static Claims storms(long first, long last, Consumer<String> progress) {
        long rejects = 0;
        long copies = 0;
        long faults = 0;
        long crossed = 0;
        long taken = 0;
        for (long from = first; from <= last; from += 100) {
            long to = Math.min(last, from + 99);
            List<Result> results = LongStream.rangeClosed(from, to)
                    .parallel()
                    .mapToObj(seed -> RegionScenes.storm(seed, STORM))
                    .toList();
            for (Result result : results) {
                rejects += result.rejects();
                copies += result.copies();
                faults += result.faults().size();
                taken += result.services().values().stream()
                        .mapToLong(Service::taken)
                        .sum();
                crossed += result.services().values().stream()
                        .mapToLong(Service::crossed)
                        .sum();
                result.faults().forEach(fault -> progress.accept("seed " + result.seed() + ": " + fault));
            }
            progress.accept(
                    "seeds to " + to + ": " + rejects + " rejects, " + copies + " copies, " + faults + " rules broken");
        }
        Claims claims = new Claims();
        claims.note("requests taken", taken);
        claims.claim("requests that went to another region", crossed, "over 1000", crossed > 1_000);
        claims.claim("rejects taken", rejects, "100000", rejects >= 100_000);
        claims.claim("rejects that ran twice", copies, 0, copies == 0);
        claims.claim("rules broken", faults, 0, faults == 0);
        return claims;
    }

    private static double share(List<Result> results, String region) {
        return results.stream()
                .mapToDouble(result -> result.services().get(region).share())
                .average()
                .orElse(-1);
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
