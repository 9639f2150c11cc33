package reedmux.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.policy.Gateway.Group;
import reedmux.policy.Gateway.Limits;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Rules;
import reedmux.policy.Gateway.Settings;

/**
 * The settings of an instance from their flat form, {@code lanes.0.name} and the like; keys nobody asks for
 * are passed over. The simulator's adapter and the real gatekeeper read their settings here and only here.
 */
public final class SettingsReader {
    /** For units of one request, where no bound is told. */
    private static final double NO_BOUND = 1e9;
    /** Told by nobody but {@link Config}, as only on sockets a request takes its units that late. */
    static final String UNITS_WHEN_WHOLE = "reedmux.unitsWhenWhole";
    /** The longest advice to stay away, in microseconds, where no bound is told. */
    private static final long MOST_ADVICE = 1_000_000;
    /** Most bytes of a message between gatekeepers, by the platform's protocol. */
    private static final int PEER_BYTES = 256;

    private final Map<String, String> values;

    private final String place;

    /** {@code place} stands before the key in every message. */
    public SettingsReader(String place, Map<String, String> values) {
        this.place = place;
        this.values = values;
    }

    private ConfigException bad(String message) {
        return new ConfigException(place + message);
    }

    public Settings settings() throws ConfigException {
        int groupSize = count("groupSize");
        int self = count("position");
        if (groupSize < 1 || self >= groupSize) {
            throw bad("position does not lie within groupSize");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            classes.add(requestClass("lanes." + i + "."));
        }
        double mostUnits = number("extra.unitsTop", NO_BOUND);
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < count("packages.count"); i++) {
            plans.add(plan("packages." + i + ".", mostUnits));
        }
        if (classes.isEmpty() || plans.isEmpty()) {
            throw bad((classes.isEmpty() ? "lanes" : "packages") + ".count must be above nought");
        }
        for (String list : List.of("lanes", "packages")) {
            checkNames(list);
        }
        return new Settings(
                self,
                groupSize,
                (int) number("az", 0),
                text("discovery", "push").equals("ask"),
                flag(UNITS_WHEN_WHOLE),
                mostUnits,
                time("tickUs", 1000),
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
        Repeat repeat =
                switch (text(at + "effect", "non_idempotent")) {
                    case "read_like" -> Repeat.SAFE;
                    case "idempotency_key" -> Repeat.KEYED;
                    case "non_idempotent" -> Repeat.UNSAFE;
                    default -> throw bad(at + "effect is not known");
                };
        Group group =
                switch (text(at + "group", "cell")) {
                    case "all" -> Group.ALL;
                    case "zone" -> Group.ZONE;
                    case "cell" -> Group.CELL;
                    default -> throw bad(at + "group is not known");
                };
        long deadline = needed(at + "deadlineUs");
        long aim = needed(at + "targetUs");
        if (aim > deadline) {
            throw bad(at + "targetUs lies past its deadlineUs");
        }
        return new RequestClass(
                text(at + "name", "class"),
                repeat,
                group,
                time(at + "windowUs", 0),
                aim,
                deadline,
                number(at + "worth", 1),
                number(at + "lateValue", 0),
                flag(at + "streaming"));
    }

    /** A request names its class and plan, so that of two with one name the second is never meant. */
    private void checkNames(String list) throws ConfigException {
        Map<String, Integer> seen = new HashMap<>();
        for (int i = 0; i < count(list + ".count"); i++) {
            String name = values.get(list + "." + i + ".name");
            Integer before = name == null ? null : seen.putIfAbsent(name, i);
            if (before != null) {
                throw bad(list + "." + i + ".name is that of " + list + "." + before + ": '" + name + "'");
            }
        }
    }

    private Plan plan(String at, double mostUnits) throws ConfigException {
        Plan plan = new Plan(
                text(at + "name", "plan"),
                number(at + "refill", 0),
                number(at + "mostAtOnce", 0),
                whole(at + "concurrency", 0),
                number(at + "hardRate", 0),
                number(at + "capDepth", 0),
                number(at + "capSlack", 0),
                number(at + "pays", 1),
                number(at + "beyondEarns", 0),
                number(at + "beyondCosts", 0));
        if (plan.rate() > 0 && plan.burst() <= 0) {
            throw bad(at + "mostAtOnce must be above nought where refill is");
        }
        if (plan.ceilingRate() > 0 && plan.ceilingBurst() <= 0) {
            throw bad(at + "capDepth must be above nought where hardRate is");
        }
        if (plan.rate() > 0 && mostUnits < NO_BOUND && plan.burst() < mostUnits) {
            throw bad(at + "mostAtOnce is under extra.unitsTop: the largest request would never be let in");
        }
        if (plan.rate() > 0
                && plan.ceilingRate() > 0
                && (plan.ceilingRate() < plan.rate() || plan.ceilingBurst() < plan.burst())) {
            throw bad(at
                    + (plan.ceilingRate() < plan.rate()
                            ? "hardRate is under its refill"
                            : "capDepth is under its mostAtOnce")
                    + ": the ceiling would cut into the quota");
        }
        return plan;
    }

    private Rules rules() throws ConfigException {
        return new Rules(
                time("rules.answerSlackUs", 0),
                time("rules.askWithinUs", 0),
                number("rules.coldFrom", 0),
                time("rules.coldUs", 0),
                time("rules.drainGraceUs", 0),
                number("rules.fallMultiple", 1),
                time("rules.fallUs", 0));
    }

    private Limits limits() throws ConfigException {
        return new Limits(
                flag("limits.cancelling"),
                flag("limits.secondCopies"),
                flag("limits.probes"),
                flag("limits.peerMessages"),
                flag("extra.mayCount"),
                Math.max(1, whole("limits.sendCap", 1)),
                flag("limits.retryAfter") ? time("limits.maxRetryAfterUs", MOST_ADVICE) : 0,
                number("extra.mailPerS", 0),
                PEER_BYTES,
                time("extra.countLimitUs", 0));
    }

    private String text(String key, String missing) {
        return values.getOrDefault(key, missing);
    }

    private boolean flag(String key) throws ConfigException {
        String value = values.getOrDefault(key, "false");
        if (!value.equals("true") && !value.equals("false") && !value.equals("-")) {
            throw bad(key + " is neither true nor false: '" + value + "'");
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
        throw bad(key + " is not a number of nought or more: '" + value + "'");
    }

    /** A time in microseconds. */
    public long time(String key, long missing) throws ConfigException {
        return (long) number(key, missing);
    }

    private long needed(String key) throws ConfigException {
        long value = time(key, 0);
        if (value <= 0) {
            throw bad(key + " is missing or nought");
        }
        return value;
    }

    private int count(String key) throws ConfigException {
        if (!values.containsKey(key)) {
            throw bad(key + " is missing");
        }
        return Math.min(1_000_000, whole(key, 0));
    }

    private int whole(String key, int missing) throws ConfigException {
        double value = number(key, missing);
        if (value != Math.rint(value)) {
            throw bad(key + " is not a whole number: '" + values.get(key) + "'");
        }
        return (int) Math.min(Integer.MAX_VALUE, value);
    }
}
