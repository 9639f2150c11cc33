package reedmux.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.policy.Gateway.Group;
import reedmux.policy.Gateway.Limits;
import reedmux.policy.Gateway.Metric;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Rules;
import reedmux.policy.Gateway.Settings;

/** The settings of a {@code CONFIGURE} line; keys nobody asks for are passed over. */
final class Options {
    private final Map<String, String> values = new HashMap<>();
    private final Fields line;

    Options(Fields line) throws Malformed {
        this.line = line;
        for (String pair : line.rest()) {
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw line.malformed("not a setting: '" + pair + "'");
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
    }

    Settings settings() throws Malformed {
        int groupSize = count("groupSize");
        int self = count("position");
        if (groupSize < 1 || self >= groupSize) {
            throw line.malformed("position does not lie within groupSize");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            classes.add(requestClass("lanes." + i + "."));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < count("packages.count"); i++) {
            plans.add(plan("packages." + i + "."));
        }
        if (classes.isEmpty() || plans.isEmpty()) {
            throw line.malformed((classes.isEmpty() ? "lanes" : "packages") + ".count must be above nought");
        }
        return new Settings(self, groupSize, (int) number("az", 0), text("discovery", "push").equals("ask"),
                flag("extra.truedUp"), number("extra.unitsTop", 1), time("tickUs", 1000),
                List.copyOf(classes), List.copyOf(plans), rules(), limits());
    }

    /** The names of the values in a load report, null where the name is not known. */
    List<Metric> metrics() {
        List<Metric> metrics = new ArrayList<>();
        for (String name : text("telemetry.fields", "").split(",")) {
            metrics.add(switch (name) {
                case "busy_reqs" -> Metric.IN_FLIGHT;
                case "pending" -> Metric.QUEUED;
                case "cpu_share" -> Metric.UTILISATION;
                case "svc_ms" -> Metric.LATENCY_MS;
                case "served_ps" -> Metric.REQUESTS_PER_S;
                case "failed_ps" -> Metric.ERRORS_PER_S;
                default -> null;
            });
        }
        return metrics;
    }

    private RequestClass requestClass(String at) throws Malformed {
        Repeat repeat = switch (text(at + "effect", "non_idempotent")) {
            case "read_like" -> Repeat.SAFE;
            case "idempotency_key" -> Repeat.KEYED;
            case "non_idempotent" -> Repeat.UNSAFE;
            default -> throw line.malformed(at + "effect is not known");
        };
        Group group = switch (text(at + "group", "cell")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw line.malformed(at + "group is not known");
        };
        long deadline = needed(at + "deadlineUs");
        long aim = needed(at + "targetUs");
        if (aim > deadline) {
            throw line.malformed(at + "targetUs lies past its deadlineUs");
        }
        return new RequestClass(text(at + "name", "class"), repeat, group, time(at + "windowUs", 0), aim,
                deadline, number(at + "worth", 1), number(at + "lateValue", 0), flag(at + "streaming"));
    }

    private Plan plan(String at) throws Malformed {
        Plan plan = new Plan(text(at + "name", "plan"), number(at + "refill", 0),
                number(at + "mostAtOnce", 0), (int) number(at + "concurrency", 0), number(at + "hardRate", 0),
                number(at + "capDepth", 0), number(at + "capSlack", 0), number(at + "pays", 1),
                number(at + "beyondEarns", 0), number(at + "beyondCosts", 0));
        if (plan.rate() > 0 && plan.burst() <= 0) {
            throw line.malformed(at + "mostAtOnce must be above nought where refill is");
        }
        if (plan.ceilingRate() > 0 && plan.ceilingBurst() <= 0) {
            throw line.malformed(at + "capDepth must be above nought where hardRate is");
        }
        return plan;
    }

    private Rules rules() throws Malformed {
        return new Rules(time("rules.answerSlackUs", 0), time("rules.askWithinUs", 0),
                number("rules.coldFrom", 0), time("rules.coldUs", 0), time("rules.drainGraceUs", 0),
                number("rules.fallMultiple", 1), time("rules.fallUs", 0));
    }

    private Limits limits() throws Malformed {
        return new Limits(flag("limits.cancelling"), flag("limits.secondCopies"), flag("limits.probes"),
                flag("limits.peerMessages"), flag("extra.mayCount"),
                Math.max(1, (int) number("limits.sendCap", 1)),
                flag("limits.retryAfter") ? time("limits.maxRetryAfterUs", 0) : 0,
                number("extra.mailPerS", 0), time("extra.countLimitUs", 0));
    }

    private String text(String key, String missing) {
        return values.getOrDefault(key, missing);
    }

    private boolean flag(String key) {
        return values.getOrDefault(key, "false").equals("true");
    }

    private double number(String key, double missing) throws Malformed {
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
        throw line.malformed(key + " is not a number of nought or more: '" + value + "'");
    }

    private long time(String key, long missing) throws Malformed {
        return (long) number(key, missing);
    }

    private long needed(String key) throws Malformed {
        long value = time(key, 0);
        if (value <= 0) {
            throw line.malformed(key + " is missing or nought");
        }
        return value;
    }

    private int count(String key) throws Malformed {
        if (!values.containsKey(key)) {
            throw line.malformed(key + " is missing");
        }
        return (int) Math.min(1_000_000, number(key, 0));
    }
}
