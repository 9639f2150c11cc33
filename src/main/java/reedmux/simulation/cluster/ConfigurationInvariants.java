package reedmux.simulation.cluster;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.simulation.cluster.ClusterInvariantChecker.ExpectedDecision;

/**
 * The invariants of the configuration (rules CONFIG, DUTY, ACKS): valid changes are acknowledged in time and invalid
 * ones rejected, an acknowledged version is never lost and reaches every proxy, and no proxy reverts to an older
 * version. Times are microseconds.
 */
final class ConfigurationInvariants {
    private static final long SECOND = 1_000_000;
    /** How long after its acknowledgement a version may take until each proxy in contact uses it. */
    private static final long PROPAGATION_LIMIT_MICROS = 2 * SECOND;
    /** Added to the propagation limit if the core had a fault. */
    private static final long FAULT_ALLOWANCE_MICROS = 5 * SECOND;
    /** How long after a newer version was observed in-flight requests may still show an older one. */
    private static final long REVERT_TOLERANCE_MICROS = SECOND / 4;

    /** A valid change must be acknowledged before the core has been settled for this long. */
    private static final long ACKNOWLEDGEMENT_LIMIT_MICROS = 4 * SECOND;

    private static final int MICROS_PER_MILLI = 1000;

    private static final class ObservedVersion {
        private final ConfigurationItem item;
        private final String effect;
        private final long sentAt;
        private long acknowledgedAt = -1;
        private boolean rejected;

        private ObservedVersion(ConfigurationItem item, String effect, long sentAt) {
            this.item = item;
            this.effect = effect;
            this.sentAt = sentAt;
        }
    }

    /** The newest revision of an item that a proxy incarnation is known to have used, and when it was observed. */
    private record ObservedFloor(long revision, long seenAt) {}

    private final FaultSchedule faults;
    private final ViolationLog log;
    /** Versions by item key, each map sorted by precedence. */
    private final Map<String, TreeMap<ConfigurationItem, ObservedVersion>> versions = new LinkedHashMap<>();

    private final Map<String, ObservedFloor> floors = new HashMap<>();

    ConfigurationInvariants(FaultSchedule faults, ViolationLog log) {
        this.faults = faults;
        this.log = log;
    }

    /** Records that a version is sent for the first time; see {@link ClusterInvariantChecker#onVersionSent}. */
    void onVersionSent(ConfigurationItem item, String effect, long now) {
        versions.computeIfAbsent(item.key(), key -> {
                    TreeMap<ConfigurationItem, ObservedVersion> all = new TreeMap<>();
                    ConfigurationItem none = new ConfigurationItem(item.kind(), item.name(), 0, "");
                    all.put(none, new ObservedVersion(none, ClusterInvariantChecker.NO_EFFECT, 0));
                    return all;
                })
                .putIfAbsent(item, new ObservedVersion(item, effect, now));
    }

    private ObservedVersion version(ConfigurationItem item) {
        return versions.get(item.key()).get(item);
    }

    /** Handles the acknowledgement of a change that was sent at {@code sentAt}, even if the response is then lost. */
    void onChangeAcknowledged(List<ConfigurationItem> items, ExpectedDecision expected, long sentAt, long now) {
        for (ConfigurationItem item : items) {
            ObservedVersion version = version(item);
            if (expected == ExpectedDecision.REJECT) {
                log.report("CONFIG", "an invalid change was acknowledged: " + item);
            } else if (version.acknowledgedAt < 0) {
                version.acknowledgedAt = now;
                checkUniqueContent(version);
            }
        }
        checkAcknowledgementTime(items, expected, sentAt, now);
    }

    private void checkUniqueContent(ObservedVersion version) {
        ConfigurationItem item = version.item;
        for (ObservedVersion other : versions.get(item.key()).values()) {
            if (other != version && other.acknowledgedAt >= 0 && other.item.revision() == item.revision()) {
                log.report(
                        "CONFIG", "two contents were acknowledged under one revision: " + item + " and " + other.item);
            }
        }
    }

    /** Handles a change that was rejected, if {@code definitive}, or that the operator abandoned after a timeout. */
    void onChangeRejected(
            List<ConfigurationItem> items, ExpectedDecision expected, boolean definitive, long sentAt, long now) {
        if (definitive) {
            if (!items.isEmpty() && items.stream().allMatch(item -> version(item).acknowledgedAt >= 0)) {
                log.report("CONFIG", "an acknowledged change was rejected when it was resent: " + items);
            } else if (expected == ExpectedDecision.ACCEPT) {
                log.report("DUTY", "a valid change was rejected: " + items);
            }
            items.forEach(item -> version(item).rejected = true);
        } else {
            checkAcknowledgementTime(items, expected, sentAt, now);
        }
    }

    private void checkAcknowledgementTime(
            List<ConfigurationItem> items, ExpectedDecision expected, long sentAt, long now) {
        if (expected == ExpectedDecision.ACCEPT
                && faults.longestSettledMicros(sentAt, now) >= ACKNOWLEDGEMENT_LIMIT_MICROS) {
            log.report(
                    "ACKS",
                    "a valid change was not acknowledged within " + (now - sentAt) / MICROS_PER_MILLI + " ms: "
                            + items);
        }
    }

    /**
     * Checks the version of an item that a response reveals to be in force at a proxy.
     *
     * @param incarnation the incarnation of the proxy, because a restart may revert it to older versions
     * @param effect      the observed effect, for the violation report
     * @param matches     accepts the effects of versions that are consistent with the observation
     */
    void onEffectObserved(
            String proxy,
            String incarnation,
            String key,
            String effect,
            Predicate<String> matches,
            long sentAt,
            long now) {
        TreeMap<ConfigurationItem, ObservedVersion> all = versions.get(key);
        if (all == null || !faults.isInContact(proxy, sentAt, now)) {
            return;
        }
        long oldest = -1;
        long newest = -1;
        for (ObservedVersion version : all.values()) {
            if (matches.test(version.effect)
                    && version.sentAt <= now
                    && !version.rejected
                    && !isSuperseded(version, all)) {
                oldest = oldest < 0 ? version.item.revision() : oldest;
                newest = version.item.revision();
            }
        }
        long required = requiredRevision(all, sentAt, now);
        boolean majorityLost = faults.lostMajority(sentAt - PROPAGATION_LIMIT_MICROS - FAULT_ALLOWANCE_MICROS, now);
        if (newest < 0) {
            log.report("CONFIG", proxy + " handles " + key + " as no version of it allows: " + effect);
        } else if (newest < required && !majorityLost) {
            log.report(
                    "CONFIG",
                    proxy + " shows " + effect + " of " + key + ", last allowed by revision " + newest + "; " + required
                            + " was acknowledged before the propagation limit");
        }
        checkMonotonic(incarnation, key, oldest, newest, sentAt, now);
    }

    /** Returns the newest revision acknowledged long enough ago that each proxy must use it or a newer one. */
    private long requiredRevision(TreeMap<ConfigurationItem, ObservedVersion> all, long sentAt, long now) {
        long limit = PROPAGATION_LIMIT_MICROS
                + (faults.isCoreSettled(sentAt - PROPAGATION_LIMIT_MICROS, now) ? 0 : FAULT_ALLOWANCE_MICROS);
        long required = 0;
        for (ObservedVersion version : all.values()) {
            if (version.acknowledgedAt >= 0 && version.acknowledgedAt + limit < sentAt) {
                required = version.item.revision();
            }
        }
        return required;
    }

    /** Checks that an incarnation never reverts; {@code oldest} and {@code newest} bound the observed revision. */
    private void checkMonotonic(String incarnation, String key, long oldest, long newest, long sentAt, long now) {
        String floorKey = incarnation + ' ' + key;
        ObservedFloor floor = floors.getOrDefault(floorKey, new ObservedFloor(-1, 0));
        if (newest >= 0 && newest < floor.revision && sentAt > floor.seenAt + REVERT_TOLERANCE_MICROS) {
            log.report("CONFIG", incarnation + " reverts from " + floor.revision + " to " + newest + " of " + key);
        }
        if (oldest > floor.revision) {
            floors.put(floorKey, new ObservedFloor(oldest, now));
        }
    }

    /** Returns whether a version lost against another content that was acknowledged under the same revision. */
    private static boolean isSuperseded(ObservedVersion version, Map<ConfigurationItem, ObservedVersion> all) {
        return version.acknowledgedAt < 0
                && all.values().stream()
                        .anyMatch(
                                other -> other.acknowledgedAt >= 0 && other.item.revision() == version.item.revision());
    }

    /** Checks the configuration read at the end of a run; {@code text} is null if no machine responded. */
    void checkFinalRead(String text, String rule, long sentAt) {
        if (text == null) {
            log.report(rule, "no machine responded to the final read of the operator");
        } else {
            checkRead(text, rule, sentAt);
        }
    }

    /** Checks the response of a machine to a read that was sent at {@code sentAt}. */
    void checkRead(String text, long sentAt) {
        checkRead(text, "CONFIG", sentAt);
    }

    private void checkRead(String text, String rule, long sentAt) {
        Map<String, ConfigurationItem> found = new HashMap<>();
        try {
            List<ConfigurationItem> items = ConfigurationChangeFormat.parse("{\"apply\":" + text + "}");
            items.forEach(item -> found.put(item.key(), item));
            ConfigurationTable.of(items);
        } catch (InvalidConfigurationException e) {
            log.report("CONFIG", "the configuration that was read is invalid: " + e.getMessage());
        }
        versions.forEach((key, all) -> checkItemRead(key, all, found.remove(key), rule, sentAt));
        found.forEach((key, item) -> log.report("CONFIG", key + " was never sent"));
    }

    /** Checks one item of a read; {@code read} is the item that was returned, or null if it is missing. */
    private void checkItemRead(
            String key,
            TreeMap<ConfigurationItem, ObservedVersion> all,
            ConfigurationItem read,
            String rule,
            long sentAt) {
        ConfigurationItem acknowledged = null;
        for (ObservedVersion version : all.values()) {
            if (version.acknowledgedAt >= 0 && version.acknowledgedAt <= sentAt) {
                acknowledged = version.item;
            }
        }
        if (acknowledged != null && isLost(acknowledged, all, read)) {
            log.report(
                    rule,
                    key + " was acknowledged with " + acknowledged.revision() + " and reads "
                            + (read == null ? "missing" : read.revision()));
            return;
        }
        ObservedVersion sent = read == null ? null : all.get(read);
        if (read != null && (sent == null || sent.rejected || !sent.item.equals(read))) {
            log.report("CONFIG", key + " was read with a content that was never sent or was rejected: " + read);
        }
    }

    /** Returns whether the read item is neither the acknowledged one nor one that may have replaced it. */
    private static boolean isLost(
            ConfigurationItem acknowledged, TreeMap<ConfigurationItem, ObservedVersion> all, ConfigurationItem read) {
        if (read != null) {
            return read.revision() < acknowledged.revision()
                    || read.revision() == acknowledged.revision() && !read.equals(acknowledged);
        }
        for (ObservedVersion version : all.values()) {
            if (version.item.revision() >= acknowledged.revision() && version.item.isDeleted() && !version.rejected) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether no version of a known route targets the service; false if the route is unknown. */
    boolean isNeverRoutedTo(String route, String service) {
        TreeMap<ConfigurationItem, ObservedVersion> all = versions.get(route);
        return all != null && all.values().stream().noneMatch(version -> version.effect.equals(service));
    }
}
