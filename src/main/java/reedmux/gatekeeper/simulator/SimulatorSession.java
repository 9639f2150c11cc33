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
    private final StringBuilder replyText = new StringBuilder(1 << 16);
    private long lineNumber;
    private long now;

    /** A session without gatekeepers; a policy is made of its settings and the seed of its randomness. */
    SimulatorSession(BiFunction<PolicySettings, Long, TrafficPolicy> policyFactory) {
        this.policyFactory = policyFactory;
    }

    /**
     * Answers batches until the input ends between two of them.
     *
     * @throws SimulatorProtocolException at the first line that cannot be read
     */
    void run(BufferedReader in, OutputStream sink) throws IOException, SimulatorProtocolException {
        for (SimulatorLine line = readLine(in); line != null; line = readLine(in)) {
            if (!line.nextText().equals("CLOCK")) {
                throw line.malformed("a batch begins with CLOCK");
            }
            long clock = line.nextNonNegativeLong();
            if (clock < now) {
                throw line.malformed("the clock went backwards");
            }
            now = clock;
            readBatch(in);
            sink.write(replyText.append("FINISHED\n").toString().getBytes(StandardCharsets.UTF_8));
            sink.flush();
            replyText.setLength(0);
        }
    }

    private SimulatorLine readLine(BufferedReader in) throws IOException {
        String line = in.readLine();
        return line == null ? null : new SimulatorLine(++lineNumber, line);
    }

    private void readBatch(BufferedReader in) throws IOException, SimulatorProtocolException {
        for (SimulatorLine line = readLine(in); line != null; line = readLine(in)) {
            String name = line.nextText();
            if (name.equals("YOUR_TURN")) {
                return;
            }
            int id = line.nextNonNegativeInt();
            switch (name) {
                case "CONFIGURE" -> configure(id, line);
                case "DOWN" -> instances.remove(id);
                default -> {
                    GatekeeperInstance instance = instances.get(id);
                    if (instance == null) {
                        throw line.malformed("no such instance");
                    }
                    PolicyEvent event = parseEvent(name, line, instance, in);
                    runGuarded(instance.reply, () -> instance.policy.handle(now, event, instance.reply));
                }
            }
        }
        throw new SimulatorProtocolException("line " + lineNumber + ": the input ends within a batch");
    }

    private void configure(int id, SimulatorLine line) throws SimulatorProtocolException {
        long seed = line.nextNonNegativeLong();
        SimulatorOptions options = new SimulatorOptions(line);
        PolicySettings settings = options.readSettings();
        SimulatorReplyWriter reply = new SimulatorReplyWriter(replyText, id);
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

    private PolicyEvent parseEvent(String name, SimulatorLine line, GatekeeperInstance instance, BufferedReader in)
            throws IOException, SimulatorProtocolException {
        return switch (name) {
            case "VIEW" -> parseServerList(line, in);
            case "KNOCK" -> parseRequest(line, instance.settings);
            case "ELAPSED" -> new TimerExpired(line.nextNonNegativeLong());
            case "SETTLED" -> parseAttemptEnded(line);
            case "INBOX" -> new PeerMessage(line.nextIntBelow(instance.settings.groupSize()), line.nextHexBytes());
            case "FIRST_BYTE" ->
                new ResponseStreamStarted(
                        line.nextRequestId(), line.nextText(), line.nextNonNegativeInt(), line.nextNonNegativeLong());
            case "TALLY_BACK" ->
                new CounterResult(
                        line.nextNonNegativeLong(),
                        parseOutcome(line),
                        line.nextFiniteDouble(),
                        line.nextNonNegativeLong());
            case "WITHDRAWN" -> new RequestWithdrawn(line.nextRequestId());
            case "CHECKED" -> new HealthCheckEnded(line.nextText(), parseOutcome(line), line.nextNonNegativeLong());
            default -> throw line.malformed("unknown event '" + name + "'");
        };
    }

    private static IncomingRequest parseRequest(SimulatorLine line, PolicySettings settings)
            throws SimulatorProtocolException {
        String id = line.nextRequestId();
        int requestClass = line.nextIntBelow(settings.classes().size());
        int plan = line.nextIntBelow(settings.plans().size());
        long customer = line.nextCustomerNumber();
        long deadline = line.nextNonNegativeLong();
        double units = line.nextPositiveDouble();
        int memberCount = (int) Math.round(line.nextPositiveDouble());
        int firstMember = (int) Math.round(line.nextFiniteDouble());
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
                (line.nextNonNegativeLong() & CLIENT_RETRY_BIT) != 0);
    }

    private static AttemptEnded parseAttemptEnded(SimulatorLine line) throws SimulatorProtocolException {
        String id = line.nextRequestId();
        boolean over = line.nextFlag();
        String server = line.nextText();
        line.nextNonNegativeLong(); // the meter's figure, which no decision uses
        int attempt = line.nextNonNegativeInt();
        double units = line.nextFiniteDouble();
        long took = line.nextNonNegativeLong();
        return new AttemptEnded(id, over, server, attempt, units, took, parseOutcome(line));
    }

    private ServerList parseServerList(SimulatorLine line, BufferedReader in)
            throws IOException, SimulatorProtocolException {
        String word = line.nextText();
        ServerListScope scope =
                switch (word) {
                    case "delta" -> ServerListScope.CHANGES;
                    case "full" -> ServerListScope.FULL;
                    case "cached" -> ServerListScope.CACHED;
                    case "failed" -> ServerListScope.FAILED;
                    default -> throw line.malformed("unknown scope '" + word + "'");
                };
        line.nextNonNegativeLong();
        int entries = line.nextNonNegativeInt();
        List<ListedServer> servers = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            SimulatorLine entry = readLine(in);
            if (entry == null || !entry.nextText().equals("SERVER")) {
                throw (entry == null ? line : entry).malformed("a SERVER line is missing");
            }
            servers.add(new ListedServer(
                    entry.nextText(),
                    entry.nextNonNegativeInt(),
                    entry.nextNonNegativeInt(),
                    entry.nextNonNegativeInt(),
                    parseStatus(entry),
                    entry.nextFiniteDouble(),
                    entry.nextNonNegativeLong()));
        }
        return new ServerList(scope, servers);
    }

    private static ServerStatus parseStatus(SimulatorLine line) throws SimulatorProtocolException {
        String word = line.nextText();
        return switch (word) {
            case "Ready" -> ServerStatus.READY;
            case "Terminating" -> ServerStatus.DRAINING;
            case "Gone" -> ServerStatus.GONE;
            default -> throw line.malformed("unknown status '" + word + "'");
        };
    }

    private static AttemptOutcome parseOutcome(SimulatorLine line) throws SimulatorProtocolException {
        String word = line.nextText();
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
