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
 * What holds for the configuration: changes are decided as they are valid and in time (rules CONFIG, DUTY, ACKS), an
 * acknowledged version is never lost and reaches every proxy, and no proxy goes back to an older one. Times are
 * microseconds.
 */
final class ConfigurationInvariants {
    private static final long SECOND = 1_000_000;
    /** After an acknowledgement, until each proxy in contact uses the version. */
    private static final long PROPAGATION_LIMIT_MICROS = 2 * SECOND;
    /** Added to the limit where the core had a fault. */
    private static final long FAULT_ALLOWANCE_MICROS = 5 * SECOND;
    /** Requests in flight may show an older version for so long after a newer one. */
    private static final long REVERT_TOLERANCE_MICROS = SECOND / 4;

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

    /** The newest revision that one incarnation of a proxy has certainly used of an item, and when that was seen. */
    private record ObservedFloor(long revision, long seenAt) {}

    private final FaultSchedule faults;
    private final ViolationLog log;
    /** By item, in the order of their precedence. */
    private final Map<String, TreeMap<ConfigurationItem, ObservedVersion>> versions = new LinkedHashMap<>();

    private final Map<String, ObservedFloor> floors = new HashMap<>();

    ConfigurationInvariants(FaultSchedule faults, ViolationLog log) {
        this.faults = faults;
        this.log = log;
    }

    /** A version was sent for the first time; {@code effect}: how requests show that it is in force. */
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

    /** A change was acknowledged, even if the response was lost; the operator had waited since {@code sentAt}. */
    void onChangeAcknowledged(List<ConfigurationItem> items, ExpectedDecision expected, long sentAt, long now) {
        for (ConfigurationItem item : items) {
            ObservedVersion version = version(item);
            if (expected == ExpectedDecision.REJECT) {
                log.report("CONFIG", "an invalid call is acknowledged: " + item);
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
                log.report("CONFIG", "two contents are acknowledged under one number: " + item + " and " + other.item);
            }
        }
    }

    /** A change was rejected ({@code clear}), or given up by the operator. */
    void onChangeRejected(
            List<ConfigurationItem> items, ExpectedDecision expected, boolean definitive, long sentAt, long now) {
        if (definitive) {
            if (!items.isEmpty() && items.stream().allMatch(item -> version(item).acknowledgedAt >= 0)) {
                log.report("CONFIG", "a change that was acknowledged is sent again and refused: " + items);
            } else if (expected == ExpectedDecision.ACCEPT) {
                log.report("DUTY", "a valid change is refused: " + items);
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
                    "a valid change has no acknowledgement after " + (now - sentAt) / MICROS_PER_MILLI + " ms: "
                            + items);
        }
    }

    /**
     * A request to one proxy has shown which version of an item is in force there.
     *
     * @param incarnation the proxy's, as versions may go back at a restart
     * @param effect      what was seen, for the report
     * @param matches        the effects that agree with it
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
            log.report("CONFIG", proxy + " handles " + key + " as no version allows: " + effect);
        } else if (newest < required && !majorityLost) {
            log.report(
                    "CONFIG",
                    proxy + " shows " + effect + " of " + key + ", which only " + newest + " allows; " + required
                            + " was acknowledged long before");
        }
        checkMonotonic(incarnation, key, oldest, newest, sentAt, now);
    }

    /** The newest revision that was acknowledged so long ago that each proxy must use it or a newer one. */
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

    /** One incarnation never goes back; {@code oldest} and {@code newest} bound the revision that was seen. */
    private void checkMonotonic(String incarnation, String key, long oldest, long newest, long sentAt, long now) {
        String floorKey = incarnation + ' ' + key;
        ObservedFloor floor = floors.getOrDefault(floorKey, new ObservedFloor(-1, 0));
        if (newest >= 0 && newest < floor.revision && sentAt > floor.seenAt + REVERT_TOLERANCE_MICROS) {
            log.report("CONFIG", incarnation + " goes back from " + floor.revision + " to " + newest + " of " + key);
        }
        if (oldest > floor.revision) {
            floors.put(floorKey, new ObservedFloor(oldest, now));
        }
    }

    /** Whether another content was acknowledged under the same revision. */
    private static boolean isSuperseded(ObservedVersion version, Map<ConfigurationItem, ObservedVersion> all) {
        return version.acknowledgedAt < 0
                && all.values().stream()
                        .anyMatch(
                                other -> other.acknowledgedAt >= 0 && other.item.revision() == version.item.revision());
    }

    /** What the operator reads at the end; null if nobody responded. */
    void checkFinalRead(String text, String rule, long sentAt) {
        if (text == null) {
            log.report(rule, "no answer to the operator who reads back");
        } else {
            checkRead(text, rule, sentAt);
        }
    }

    /** What a machine has responded to a read that was sent at {@code sentAt}. */
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
            log.report("CONFIG", "what is in force is invalid: " + e.getMessage());
        }
        versions.forEach((key, all) -> checkItemRead(key, all, found.remove(key), rule, sentAt));
        found.forEach((key, item) -> log.report("CONFIG", key + " was never sent"));
    }

    /** {@code read}: the item as it was read, or null if it is missing. */
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
            log.report("CONFIG", key + " reads as nobody sent it, or as it was refused: " + read);
        }
    }

    /** Whether what was read is neither the acknowledged item nor one that may have replaced it. */
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

    /** Whether no version of a route leads to a service; false for a route that is not known. */
    boolean isNeverRoutedTo(String route, String service) {
        TreeMap<ConfigurationItem, ObservedVersion> all = versions.get(route);
        return all != null && all.values().stream().noneMatch(version -> version.effect.equals(service));
    }
}
