package reedmux.gatekeeper.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.CounterResult;
import reedmux.gatekeeper.policy.TrafficPolicy.HealthCheckEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.PeerMessage;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyEvent;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestWithdrawn;
import reedmux.gatekeeper.policy.TrafficPolicy.ResponseStreamStarted;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.policy.TrafficPolicy.TimerExpired;

/**
 * Reads batches of events, hands each event to its gatekeeper and writes what that does. A batch begins with {@code
 * CLOCK}, the time in microseconds, and ends with {@code YOUR_TURN}; its reply ends with {@code FINISHED}.
 */
final class SimulatorSession {
    /** In a request's flags: the client had sent it before. */
    private static final int CLIENT_RETRY_BIT = 2;

    /** One simulated gatekeeper, with what is needed to read its lines. */
    private record GatekeeperInstance(TrafficPolicy policy, PolicySettings settings, SimulatorReplyWriter reply) {}

    private final BiFunction<PolicySettings, Long, TrafficPolicy> policyFactory;
    private final Map<Integer, GatekeeperInstance> instances = new HashMap<>();
    private final StringBuilder out = new StringBuilder(1 << 16);
    private long lineNumber;
    private long now;

    /** A session without gatekeepers; a policy is made of its settings and the seed of its randomness. */
    SimulatorSession(BiFunction<PolicySettings, Long, TrafficPolicy> policyFactory) {
        this.policyFactory = policyFactory;
    }

    /**
     * Answers batches until the input ends between two of them.
     *
     * @throws MalformedFrameException at the first line that cannot be read
     */
    void run(BufferedReader in, OutputStream sink) throws IOException, MalformedFrameException {
        for (SimulatorLine line = read(in); line != null; line = read(in)) {
            if (!line.text().equals("CLOCK")) {
                throw line.malformed("a batch begins with CLOCK");
            }
            long clock = line.nonNegativeLong();
            if (clock < now) {
                throw line.malformed("the clock went backwards");
            }
            now = clock;
            readBatch(in);
            sink.write(out.append("FINISHED\n").toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            out.setLength(0);
        }
    }

    private SimulatorLine read(BufferedReader in) throws IOException {
        String line = in.readLine();
        return line == null ? null : new SimulatorLine(++lineNumber, line);
    }

    private void readBatch(BufferedReader in) throws IOException, MalformedFrameException {
        for (SimulatorLine line = read(in); line != null; line = read(in)) {
            String name = line.text();
            if (name.equals("YOUR_TURN")) {
                return;
            }
            int id = line.nonNegativeInt();
            switch (name) {
                case "CONFIGURE" -> configure(id, line);
                case "DOWN" -> instances.remove(id);
                default -> {
                    GatekeeperInstance instance = instances.get(id);
                    if (instance == null) {
                        throw line.malformed("no such instance");
                    }
                    PolicyEvent event = event(name, line, instance, in);
                    runGuarded(instance.reply, () -> instance.policy.handle(now, event, instance.reply));
                }
            }
        }
        throw new MalformedFrameException("line " + lineNumber + ": the input ends within a batch");
    }

    private void configure(int id, SimulatorLine line) throws MalformedFrameException {
        long seed = line.nonNegativeLong();
        SimulatorOptions options = new SimulatorOptions(line);
        PolicySettings settings = options.settings();
        SimulatorReplyWriter reply = new SimulatorReplyWriter(out, id);
        runGuarded(
                reply,
                () -> instances.put(id, new GatekeeperInstance(policyFactory.apply(settings, seed), settings, reply)));
    }

    /** An exception in the policy is reported as that gatekeeper's fault, never swallowed. */
    private static void runGuarded(SimulatorReplyWriter reply, Runnable decision) {
        try {
            decision.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.reportPolicyFailure(e + (trace.length == 0 ? "" : " at " + trace[0]));
        }
    }

    private PolicyEvent event(String name, SimulatorLine line, GatekeeperInstance instance, BufferedReader in)
            throws IOException, MalformedFrameException {
        return switch (name) {
            case "VIEW" -> serverList(line, in);
            case "KNOCK" -> request(line, instance.settings);
            case "ELAPSED" -> new TimerExpired(line.nonNegativeLong());
            case "SETTLED" -> attemptEnded(line);
            case "INBOX" -> new PeerMessage(line.intBelow(instance.settings.groupSize()), line.hexBytes());
            case "FIRST_BYTE" ->
                new ResponseStreamStarted(line.requestId(), line.text(), line.nonNegativeInt(), line.nonNegativeLong());
            case "TALLY_BACK" ->
                new CounterResult(line.nonNegativeLong(), outcome(line), line.finiteDouble(), line.nonNegativeLong());
            case "WITHDRAWN" -> new RequestWithdrawn(line.requestId());
            case "CHECKED" -> new HealthCheckEnded(line.text(), outcome(line), line.nonNegativeLong());
            default -> throw line.malformed("unknown event '" + name + "'");
        };
    }

    private static IncomingRequest request(SimulatorLine line, PolicySettings settings) throws MalformedFrameException {
        String id = line.requestId();
        int requestClass = line.intBelow(settings.classes().size());
        int plan = line.intBelow(settings.plans().size());
        long customer = line.customerNumber();
        long deadline = line.nonNegativeLong();
        double units = line.positiveDouble();
        int memberCount = (int) Math.round(line.positiveDouble());
        int firstMember = (int) Math.round(line.finiteDouble());
        if (memberCount < 1
                || memberCount > settings.groupSize()
                || firstMember < 0
                || firstMember >= settings.groupSize()) {
            throw line.malformed("the customer's gateways do not lie within the group");
        }
        return new IncomingRequest(
                id,
                requestClass,
                plan,
                customer,
                deadline,
                units,
                memberCount,
                firstMember,
                (line.nonNegativeLong() & CLIENT_RETRY_BIT) != 0);
    }

    private static AttemptEnded attemptEnded(SimulatorLine line) throws MalformedFrameException {
        String id = line.requestId();
        boolean over = line.flag();
        String server = line.text();
        line.nonNegativeLong(); // the meter's figure, which no decision uses
        int attempt = line.nonNegativeInt();
        double units = line.finiteDouble();
        long took = line.nonNegativeLong();
        return new AttemptEnded(id, over, server, attempt, units, took, outcome(line));
    }

    private ServerList serverList(SimulatorLine line, BufferedReader in) throws IOException, MalformedFrameException {
        String word = line.text();
        ServerListScope scope =
                switch (word) {
                    case "delta" -> ServerListScope.CHANGES;
                    case "full" -> ServerListScope.FULL;
                    case "cached" -> ServerListScope.CACHED;
                    case "failed" -> ServerListScope.FAILED;
                    default -> throw line.malformed("unknown scope '" + word + "'");
                };
        line.nonNegativeLong();
        int entries = line.nonNegativeInt();
        List<ListedServer> servers = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            SimulatorLine entry = read(in);
            if (entry == null || !entry.text().equals("SERVER")) {
                throw (entry == null ? line : entry).malformed("a SERVER line is missing");
            }
            servers.add(new ListedServer(
                    entry.text(),
                    entry.nonNegativeInt(),
                    entry.nonNegativeInt(),
                    entry.nonNegativeInt(),
                    status(entry),
                    entry.finiteDouble(),
                    entry.nonNegativeLong()));
        }
        return new ServerList(scope, servers);
    }

    private static ServerStatus status(SimulatorLine line) throws MalformedFrameException {
        String word = line.text();
        return switch (word) {
            case "Ready" -> ServerStatus.READY;
            case "Terminating" -> ServerStatus.DRAINING;
            case "Gone" -> ServerStatus.GONE;
            default -> throw line.malformed("unknown status '" + word + "'");
        };
    }

    private static AttemptOutcome outcome(SimulatorLine line) throws MalformedFrameException {
        String word = line.text();
        return switch (word) {
            case "done" -> AttemptOutcome.OK;
            case "err" -> AttemptOutcome.ERROR;
            case "busy" -> AttemptOutcome.OVERLOADED;
            case "etimedout" -> AttemptOutcome.TIMEOUT;
            case "econnrefused" -> AttemptOutcome.CONNECT_FAILED;
            case "econnreset" -> AttemptOutcome.RESET;
            case "ecanceled" -> AttemptOutcome.CANCELLED;
            case "skipped" -> AttemptOutcome.NOT_SENT;
            default -> throw line.malformed("unknown outcome '" + word + "'");
        };
    }
}
