package reedmux.gatekeeper.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.DeduplicationScope;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.PlatformRules;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/**
 * Reads the settings of the policy from flat keys such as {@code lanes.0.name}. Unknown keys are ignored. Both the
 * simulator adapter and the real gatekeeper use this class.
 */
public final class SettingsReader {
    /** The default limit on the units of one request, in effect no limit. */
    private static final double UNBOUNDED_UNITS = 1e9;
    /** Set only by {@link GatekeeperConfig}: with real sockets, units are charged when the request is complete. */
    static final String UNITS_AFTER_BODY = "reedmux.unitsWhenWhole";
    /** The default limit on {@code Retry-After}, in microseconds. */
    private static final long DEFAULT_MAX_RETRY_AFTER_MICROS = 1_000_000;
    /** The maximum size of a message between gatekeepers that the platform's protocol allows. */
    private static final int MAX_PEER_MESSAGE_BYTES = 256;

    private static final int MAX_COUNT = 1_000_000;

    private final Map<String, String> values;
    private final String keyPrefix;

    /** Creates a reader of {@code values}; {@code keyPrefix} is prepended to keys in error messages. */
    public SettingsReader(String keyPrefix, Map<String, String> values) {
        this.keyPrefix = keyPrefix;
        this.values = values;
    }

    private ConfigException error(String message) {
        return new ConfigException(keyPrefix + message);
    }

    /** Reads and validates all settings. */
    public PolicySettings settings() throws ConfigException {
        int groupSize = count("groupSize");
        int self = count("position");
        if (groupSize < 1 || self >= groupSize) {
            throw error("position does not lie within groupSize");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            classes.add(requestClass("lanes." + i + "."));
        }
        double maxUnits = number("extra.unitsTop", UNBOUNDED_UNITS);
        List<CustomerPlan> plans = new ArrayList<>();
        for (int i = 0; i < count("packages.count"); i++) {
            plans.add(plan("packages." + i + ".", maxUnits));
        }
        if (classes.isEmpty() || plans.isEmpty()) {
            throw error((classes.isEmpty() ? "lanes" : "packages") + ".count must be above nought");
        }
        for (String list : List.of("lanes", "packages")) {
            checkUniqueNames(list);
        }
        return new PolicySettings(
                self,
                groupSize,
                (int) number("az", 0),
                text("discovery", "push").equals("ask"),
                flag(UNITS_AFTER_BODY),
                maxUnits,
                micros("tickUs", 1000),
                List.copyOf(classes),
                List.copyOf(plans),
                rules(),
                limits());
    }

    /** Returns a comma-separated list of names, in order. */
    public List<String> names(String key) {
        return List.of(text(key, "").split(","));
    }

    private RequestClass requestClass(String prefix) throws ConfigException {
        Idempotency idempotency =
                switch (text(prefix + "effect", "non_idempotent")) {
                    case "read_like" -> Idempotency.SAFE;
                    case "idempotency_key" -> Idempotency.KEYED;
                    case "non_idempotent" -> Idempotency.UNSAFE;
                    default -> throw error(prefix + "effect is not known");
                };
        DeduplicationScope scope =
                switch (text(prefix + "group", "cell")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw error(prefix + "group is not known");
                };
        long deadline = requiredMicros(prefix + "deadlineUs");
        long target = requiredMicros(prefix + "targetUs");
        if (target > deadline) {
            throw error(prefix + "targetUs lies past its deadlineUs");
        }
        return new RequestClass(
                text(prefix + "name", "class"),
                idempotency,
                scope,
                micros(prefix + "windowUs", 0),
                target,
                deadline,
                number(prefix + "worth", 1),
                number(prefix + "lateValue", 0),
                flag(prefix + "streaming"));
    }

    /** Checks that names are unique, because requests refer to their class and plan by name. */
    private void checkUniqueNames(String list) throws ConfigException {
        Map<String, Integer> seen = new HashMap<>();
        for (int i = 0; i < count(list + ".count"); i++) {
            String name = values.get(list + "." + i + ".name");
            Integer firstIndex = name == null ? null : seen.putIfAbsent(name, i);
            if (firstIndex != null) {
                throw error(list + "." + i + ".name is that of " + list + "." + firstIndex + ": '" + name + "'");
            }
        }
    }

    private CustomerPlan plan(String prefix, double maxUnits) throws ConfigException {
        CustomerPlan plan = new CustomerPlan(
                text(prefix + "name", "plan"),
                number(prefix + "refill", 0),
                number(prefix + "mostAtOnce", 0),
                integer(prefix + "concurrency", 0),
                number(prefix + "hardRate", 0),
                number(prefix + "capDepth", 0),
                number(prefix + "capSlack", 0),
                number(prefix + "pays", 1),
                number(prefix + "beyondEarns", 0),
                number(prefix + "beyondCosts", 0));
        checkPlan(prefix, plan, maxUnits);
        return plan;
    }

    private void checkPlan(String prefix, CustomerPlan plan, double maxUnits) throws ConfigException {
        boolean hasQuota = plan.quotaRate() > 0;
        boolean hasRateLimit = plan.rateLimit() > 0;
        if (hasQuota && plan.quotaBurst() <= 0) {
            throw error(prefix + "mostAtOnce must be above nought where refill is");
        } else if (hasRateLimit && plan.rateLimitBurst() <= 0) {
            throw error(prefix + "capDepth must be above nought where hardRate is");
        } else if (hasQuota && maxUnits < UNBOUNDED_UNITS && plan.quotaBurst() < maxUnits) {
            throw error(prefix + "mostAtOnce is under extra.unitsTop: the largest request would never be let in");
        } else if (hasQuota && hasRateLimit && plan.rateLimit() < plan.quotaRate()) {
            throw error(prefix + "hardRate is under its refill: the ceiling would cut into the quota");
        } else if (hasQuota && hasRateLimit && plan.rateLimitBurst() < plan.quotaBurst()) {
            throw error(prefix + "capDepth is under its mostAtOnce: the ceiling would cut into the quota");
        }
    }

    private PlatformRules rules() throws ConfigException {
        return new PlatformRules(
                micros("rules.answerSlackUs", 0),
                micros("rules.askWithinUs", 0),
                number("rules.coldFrom", 0),
                micros("rules.coldUs", 0),
                micros("rules.drainGraceUs", 0),
                number("rules.fallMultiple", 1),
                micros("rules.fallUs", 0));
    }

    private DeploymentLimits limits() throws ConfigException {
        return new DeploymentLimits(
                flag("limits.cancelling"),
                flag("limits.secondCopies"),
                flag("limits.probes"),
                flag("limits.peerMessages"),
                flag("extra.mayCount"),
                Math.max(1, integer("limits.sendCap", 1)),
                flag("limits.retryAfter") ? micros("limits.maxRetryAfterUs", DEFAULT_MAX_RETRY_AFTER_MICROS) : 0,
                number("extra.mailPerS", 0),
                MAX_PEER_MESSAGE_BYTES,
                micros("extra.countLimitUs", 0));
    }

    private String text(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private boolean flag(String key) throws ConfigException {
        String value = values.getOrDefault(key, "false");
        if (!value.equals("true") && !value.equals("false") && !value.equals("-")) {
            throw error(key + " is neither true nor false: '" + value + "'");
        }
        return value.equals("true");
    }

    private double number(String key, double defaultValue) throws ConfigException {
        String value = values.get(key);
        if (value == null || value.equals("-")) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number) && number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, together with numbers out of range
        }
        throw error(key + " is not a number of nought or more: '" + value + "'");
    }

    /** Returns a duration in microseconds. */
    public long micros(String key, long defaultValue) throws ConfigException {
        return (long) number(key, defaultValue);
    }

    private long requiredMicros(String key) throws ConfigException {
        long value = micros(key, 0);
        if (value <= 0) {
            throw error(key + " is missing or nought");
        }
        return value;
    }

    private int count(String key) throws ConfigException {
        if (!values.containsKey(key)) {
            throw error(key + " is missing");
        }
        return Math.min(MAX_COUNT, integer(key, 0));
    }

    private int integer(String key, int defaultValue) throws ConfigException {
        double value = number(key, defaultValue);
        if (value != Math.rint(value)) {
            throw error(key + " is not a whole number: '" + values.get(key) + "'");
        }
        return (int) Math.min(Integer.MAX_VALUE, value);
    }
}
