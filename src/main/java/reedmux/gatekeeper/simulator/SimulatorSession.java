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
 * Reads batches of events, passes each event to the policy of its gatekeeper and writes the resulting actions. A batch
 * begins with {@code CLOCK} and the time in microseconds, and ends with {@code YOUR_TURN}; its reply ends with {@code
 * FINISHED}.
 */
final class SimulatorSession {
    /** The flag of a request that is a retry by the client. */
    private static final int CLIENT_RETRY_BIT = 2;

    /** A simulated gatekeeper with the settings and the reply writer that its events require. */
    private record GatekeeperInstance(TrafficPolicy policy, PolicySettings settings, SimulatorReplyWriter reply) {}

    private final BiFunction<PolicySettings, Long, TrafficPolicy> policyFactory;
    private final Map<Integer, GatekeeperInstance> instances = new HashMap<>();
    private final StringBuilder replyText = new StringBuilder(1 << 16);
    private long lineNumber;
    private long now;

    /**
     * Creates a session without gatekeepers.
     *
     * @param policyFactory creates a policy from its settings and the seed of its random number generator
     */
    SimulatorSession(BiFunction<PolicySettings, Long, TrafficPolicy> policyFactory) {
        this.policyFactory = policyFactory;
    }

    /**
     * Processes batches until the input ends after a complete batch.
     *
     * @throws SimulatorProtocolException if a line is malformed or the input ends within a batch
     */
    void run(BufferedReader in, OutputStream out) throws IOException, SimulatorProtocolException {
        for (SimulatorLine line = readLine(in); line != null; line = readLine(in)) {
            if (!line.nextText().equals("CLOCK")) {
                throw line.malformed("a batch must begin with CLOCK");
            }
            long clock = line.nextNonNegativeLong();
            if (clock < now) {
                throw line.malformed("the clock went backwards");
            }
            now = clock;
            readBatch(in);
            out.write(replyText.append("FINISHED\n").toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
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

    /** Runs a call of the policy and reports an exception in the reply as a failure of that gatekeeper. */
    private static void runGuarded(SimulatorReplyWriter reply, Runnable policyCall) {
        try {
            policyCall.run();
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
            throw line.malformed("the range of the customer's gateways is not within the group");
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
        boolean requestOver = line.nextFlag();
        String server = line.nextText();
        line.nextNonNegativeLong(); // the value of the meter, which the policy does not use
        int attempt = line.nextNonNegativeInt();
        double units = line.nextFiniteDouble();
        long elapsed = line.nextNonNegativeLong();
        return new AttemptEnded(id, requestOver, server, attempt, units, elapsed, parseOutcome(line));
    }

    private ServerList parseServerList(SimulatorLine line, BufferedReader in)
            throws IOException, SimulatorProtocolException {
        String scopeName = line.nextText();
        ServerListScope scope =
                switch (scopeName) {
                    case "delta" -> ServerListScope.CHANGES;
                    case "full" -> ServerListScope.FULL;
                    case "cached" -> ServerListScope.CACHED;
                    case "failed" -> ServerListScope.FAILED;
                    default -> throw line.malformed("unknown scope '" + scopeName + "'");
                };
        line.nextNonNegativeLong();
        int entryCount = line.nextNonNegativeInt();
        List<ListedServer> servers = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
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
        String status = line.nextText();
        return switch (status) {
            case "Ready" -> ServerStatus.READY;
            case "Terminating" -> ServerStatus.DRAINING;
            case "Gone" -> ServerStatus.GONE;
            default -> throw line.malformed("unknown status '" + status + "'");
        };
    }

    private static AttemptOutcome parseOutcome(SimulatorLine line) throws SimulatorProtocolException {
        String outcome = line.nextText();
        return switch (outcome) {
            case "done" -> AttemptOutcome.OK;
            case "err" -> AttemptOutcome.ERROR;
            case "busy" -> AttemptOutcome.OVERLOADED;
            case "etimedout" -> AttemptOutcome.TIMEOUT;
            case "econnrefused" -> AttemptOutcome.CONNECT_FAILED;
            case "econnreset" -> AttemptOutcome.RESET;
            case "ecanceled" -> AttemptOutcome.CANCELLED;
            case "skipped" -> AttemptOutcome.NOT_SENT;
            default -> throw line.malformed("unknown outcome '" + outcome + "'");
        };
    }
}
