package reedmux.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import reedmux.policy.Gateway;
import reedmux.policy.Gateway.AttemptEnded;
import reedmux.policy.Gateway.Counted;
import reedmux.policy.Gateway.Event;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.PeerMessage;
import reedmux.policy.Gateway.Probed;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.ServerList;
import reedmux.policy.Gateway.Settings;
import reedmux.policy.Gateway.Status;
import reedmux.policy.Gateway.StreamStarted;
import reedmux.policy.Gateway.TimerDue;
import reedmux.policy.Gateway.Withdrawn;

/** Reads batches of the wire, hands each event to its instance and writes the replies. */
final class Drill {
    private static final int REPEAT_BIT = 2;

    /** An instance with what is needed to read its lines. */
    private record Instance(Gateway gateway, Settings settings, Reply reply) {}

    private final BiFunction<Settings, Long, Gateway> start;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final StringBuilder out = new StringBuilder(1 << 16);
    private long lineNumber;
    private long now;

    Drill(BiFunction<Settings, Long, Gateway> start) {
        this.start = start;
    }

    /** Answers batches until the input ends between two of them. */
    void run(BufferedReader in, OutputStream sink) throws IOException, Malformed {
        for (Fields line = read(in); line != null; line = read(in)) {
            if (!line.text().equals("CLOCK")) {
                throw line.malformed("a batch begins with CLOCK");
            }
            long clock = line.whole();
            if (clock < now) {
                throw line.malformed("the clock went backwards");
            }
            now = clock;
            batch(in);
            sink.write(out.append("FINISHED\n").toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            out.setLength(0);
        }
    }

    private Fields read(BufferedReader in) throws IOException {
        String line = in.readLine();
        return line == null ? null : new Fields(++lineNumber, line);
    }

    private void batch(BufferedReader in) throws IOException, Malformed {
        for (Fields line = read(in); line != null; line = read(in)) {
            String name = line.text();
            if (name.equals("YOUR_TURN")) {
                return;
            }
            int id = line.integer();
            switch (name) {
                case "CONFIGURE" -> configure(id, line);
                case "DOWN" -> instances.remove(id);
                default -> {
                    Instance instance = instances.get(id);
                    if (instance == null) {
                        throw line.malformed("no such instance");
                    }
                    Event event = event(name, line, instance, in);
                    protect(instance.reply, () -> instance.gateway.handle(now, event, instance.reply));
                }
            }
        }
        throw new Malformed("line " + lineNumber + ": the input ends within a batch");
    }

    private void configure(int id, Fields line) throws Malformed {
        long seed = line.whole();
        Options options = new Options(line);
        Settings settings = options.settings();
        Reply reply = new Reply(out, id);
        protect(reply, () -> instances.put(id, new Instance(start.apply(settings, seed), settings, reply)));
    }

    /** An exception in the module is the instance's fault and is told as such, never swallowed. */
    private static void protect(Reply reply, Runnable decision) {
        try {
            decision.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.giveIn(e + (trace.length == 0 ? "" : " at " + trace[0]));
        }
    }

    private Event event(String name, Fields line, Instance instance, BufferedReader in) throws IOException, Malformed {
        return switch (name) {
            case "VIEW" -> serverList(line, in);
            case "KNOCK" -> request(line, instance.settings);
            case "ELAPSED" -> new TimerDue(line.whole());
            case "SETTLED" -> attemptEnded(line);
            case "INBOX" -> new PeerMessage(line.index(instance.settings.groupSize()), line.bytes());
            case "FIRST_BYTE" -> new StreamStarted(line.requestId(), line.text(), line.integer(), line.whole());
            case "TALLY_BACK" -> new Counted(line.whole(), outcome(line), line.number(), line.whole());
            case "WITHDRAWN" -> new Withdrawn(line.requestId());
            case "CHECKED" -> new Probed(line.text(), outcome(line), line.whole());
            default -> throw line.malformed("unknown event '" + name + "'");
        };
    }

    private static Request request(Fields line, Settings settings) throws Malformed {
        String id = line.requestId();
        int requestClass = line.index(settings.classes().size());
        int plan = line.index(settings.plans().size());
        long customer = line.customer();
        long deadline = line.whole();
        double units = line.positive();
        int spread = (int) Math.round(line.positive());
        int first = (int) Math.round(line.number());
        if (spread < 1 || spread > settings.groupSize() || first < 0 || first >= settings.groupSize()) {
            throw line.malformed("the customer's gateways do not lie within the group");
        }
        return new Request(
                id, requestClass, plan, customer, deadline, units, spread, first, (line.whole() & REPEAT_BIT) != 0);
    }

    private static AttemptEnded attemptEnded(Fields line) throws Malformed {
        String id = line.requestId();
        boolean over = line.bool();
        String server = line.text();
        line.whole(); // the meter's figure, which no decision uses
        int attempt = line.integer();
        double units = line.number();
        long took = line.whole();
        return new AttemptEnded(id, over, server, attempt, units, took, outcome(line));
    }

    private ServerList serverList(Fields line, BufferedReader in) throws IOException, Malformed {
        String word = line.text();
        Scope scope =
                switch (word) {
                    case "delta" -> Scope.CHANGES;
                    case "full" -> Scope.FULL;
                    case "cached" -> Scope.CACHED;
                    case "failed" -> Scope.FAILED;
                    default -> throw line.malformed("unknown scope '" + word + "'");
                };
        line.whole();
        int entries = line.integer();
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            Fields entry = read(in);
            if (entry == null || !entry.text().equals("SERVER")) {
                throw (entry == null ? line : entry).malformed("a SERVER line is missing");
            }
            servers.add(new Server(
                    entry.text(),
                    entry.integer(),
                    entry.integer(),
                    entry.integer(),
                    status(entry),
                    entry.number(),
                    entry.whole()));
        }
        return new ServerList(scope, servers);
    }

    private static Status status(Fields line) throws Malformed {
        String word = line.text();
        return switch (word) {
            case "Ready" -> Status.READY;
            case "Terminating" -> Status.DRAINING;
            case "Gone" -> Status.GONE;
            default -> throw line.malformed("unknown status '" + word + "'");
        };
    }

    private static Outcome outcome(Fields line) throws Malformed {
        String word = line.text();
        return switch (word) {
            case "done" -> Outcome.OK;
            case "err" -> Outcome.ERROR;
            case "busy" -> Outcome.FULL;
            case "etimedout" -> Outcome.TIMEOUT;
            case "econnrefused" -> Outcome.CONNECT_FAILED;
            case "econnreset" -> Outcome.RESET;
            case "ecanceled" -> Outcome.CANCELLED;
            case "skipped" -> Outcome.MOOT;
            default -> throw line.malformed("unknown outcome '" + word + "'");
        };
    }
}
