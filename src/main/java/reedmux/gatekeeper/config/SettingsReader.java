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
 * The settings of an instance from their flat form, {@code lanes.0.name} and the like; keys nobody asks for
 * are passed over. The simulator's adapter and the real gatekeeper read their settings here and only here.
 */
public final class SettingsReader {
    /** For units of one request, where no bound is told. */
    private static final double UNBOUNDED_UNITS = 1e9;
    /** Told by nobody but {@link GatekeeperConfig}, as only on sockets a request takes its units that late. */
    static final String UNITS_AFTER_BODY = "reedmux.unitsWhenWhole";
    /** The longest advice to stay away, in microseconds, where no bound is told. */
    private static final long DEFAULT_MAX_RETRY_AFTER_MICROS = 1_000_000;
    /** Most bytes of a message between gatekeepers, by the platform's protocol. */
    private static final int MAX_PEER_MESSAGE_BYTES = 256;

    private final Map<String, String> values;

    private final String keyPrefix;

    /** {@code keyPrefix} stands before the key in every message. */
    public SettingsReader(String place, Map<String, String> values) {
        this.keyPrefix = place;
        this.values = values;
    }

    private ConfigException error(String message) {
        return new ConfigException(keyPrefix + message);
    }

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
        double mostUnits = number("extra.unitsTop", UNBOUNDED_UNITS);
        List<CustomerPlan> plans = new ArrayList<>();
        for (int i = 0; i < count("packages.count"); i++) {
            plans.add(plan("packages." + i + ".", mostUnits));
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
                mostUnits,
                micros("tickUs", 1000),
                List.copyOf(classes),
                List.copyOf(plans),
                rules(),
                limits());
    }

    /** A list of names, in its order. */
    public List<String> names(String key) {
        return List.of(text(key, "").split(","));
    }

    private RequestClass requestClass(String at) throws ConfigException {
        Idempotency repeat =
                switch (text(at + "effect", "non_idempotent")) {
                    case "read_like" -> Idempotency.SAFE;
                    case "idempotency_key" -> Idempotency.KEYED;
                    case "non_idempotent" -> Idempotency.UNSAFE;
                    default -> throw error(at + "effect is not known");
                };
        DeduplicationScope group =
                switch (text(at + "group", "cell")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw error(at + "group is not known");
                };
        long deadline = requiredMicros(at + "deadlineUs");
        long aim = requiredMicros(at + "targetUs");
        if (aim > deadline) {
            throw error(at + "targetUs lies past its deadlineUs");
        }
        return new RequestClass(
                text(at + "name", "class"),
                repeat,
                group,
                micros(at + "windowUs", 0),
                aim,
                deadline,
                number(at + "worth", 1),
                number(at + "lateValue", 0),
                flag(at + "streaming"));
    }

    /** A request names its class and plan, so that of two with one name the second is never meant. */
    private void checkUniqueNames(String list) throws ConfigException {
        Map<String, Integer> seen = new HashMap<>();
        for (int i = 0; i < count(list + ".count"); i++) {
            String name = values.get(list + "." + i + ".name");
            Integer before = name == null ? null : seen.putIfAbsent(name, i);
            if (before != null) {
                throw error(list + "." + i + ".name is that of " + list + "." + before + ": '" + name + "'");
            }
        }
    }

    private CustomerPlan plan(String at, double mostUnits) throws ConfigException {
        CustomerPlan plan = new CustomerPlan(
                text(at + "name", "plan"),
                number(at + "refill", 0),
                number(at + "mostAtOnce", 0),
                integer(at + "concurrency", 0),
                number(at + "hardRate", 0),
                number(at + "capDepth", 0),
                number(at + "capSlack", 0),
                number(at + "pays", 1),
                number(at + "beyondEarns", 0),
                number(at + "beyondCosts", 0));
        if (plan.quotaRate() > 0 && plan.quotaBurst() <= 0) {
            throw error(at + "mostAtOnce must be above nought where refill is");
        }
        if (plan.rateLimit() > 0 && plan.rateLimitBurst() <= 0) {
            throw error(at + "capDepth must be above nought where hardRate is");
        }
        if (plan.quotaRate() > 0 && mostUnits < UNBOUNDED_UNITS && plan.quotaBurst() < mostUnits) {
            throw error(at + "mostAtOnce is under extra.unitsTop: the largest request would never be let in");
        }
        if (plan.quotaRate() > 0
                && plan.rateLimit() > 0
                && (plan.rateLimit() < plan.quotaRate() || plan.rateLimitBurst() < plan.quotaBurst())) {
            throw error(at
                    + (plan.rateLimit() < plan.quotaRate()
                            ? "hardRate is under its refill"
                            : "capDepth is under its mostAtOnce")
                    + ": the ceiling would cut into the quota");
        }
        return plan;
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

    private String text(String key, String missing) {
        return values.getOrDefault(key, missing);
    }

    private boolean flag(String key) throws ConfigException {
        String value = values.getOrDefault(key, "false");
        if (!value.equals("true") && !value.equals("false") && !value.equals("-")) {
            throw error(key + " is neither true nor false: '" + value + "'");
        }
        return value.equals("true");
    }

    private double number(String key, double missing) throws ConfigException {
        String value = values.get(key);
        if (value == null || value.equals("-")) {
            return missing;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number) && number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, like a number that makes no sense
        }
        throw error(key + " is not a number of nought or more: '" + value + "'");
    }

    /** A time in microseconds. */
    public long micros(String key, long missing) throws ConfigException {
        return (long) number(key, missing);
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
        return Math.min(1_000_000, integer(key, 0));
    }

    private int integer(String key, int missing) throws ConfigException {
        double value = number(key, missing);
        if (value != Math.rint(value)) {
            throw error(key + " is not a whole number: '" + values.get(key) + "'");
        }
        return (int) Math.min(Integer.MAX_VALUE, value);
    }
}
