package reedmux.simulation.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.harness.DigestedBody;
import reedmux.simulation.harness.EarlyAnsweringConnection;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * A simulated checker that executes several requests concurrently and queues a limited number. It may crash, send
 * answers that do not end, or leave and serve on for a while.
 */
final class SoakChecker {
    private static final int SLOTS = 6;
    private static final int MAX_QUEUED = 12;
    private static final long HEARTBEAT_INTERVAL_MICROS = 400_000;
    private static final long CALL_TIMEOUT_MICROS = 1_000_000;
    private static final int MIN_WORK_MICROS = 30_000;
    private static final int WORK_RANGE_MICROS = 170_000;
    private static final long LEAVE_RETRY_MICROS = 200_000;
    /** Time for which a checker serves on after its leave was acknowledged; in most soaks, up to the end. */
    private static final long SERVICE_AFTER_LEAVE_MICROS = 60_000_000;
    /**
     * Time after an acknowledged leave, or after a restart of all processes, from which on no request may arrive: the
     * proxies' drain time of 2 s, and twice the 3 s in which restarted processes get in contact.
     */
    private static final long DRAIN_LIMIT_MICROS = 8_000_000;
    /** One in this many requests is slow. */
    private static final int LONG_REQUEST_SHARE = 12;

    private static final long LONG_WORK_MICROS = 900_000;
    /** One in this many intervals of a connection is a pause in which it is not read. */
    private static final int PAUSE_SHARE = 6;

    /** If this checker reads late, one in this many connections answers before a body is whole, and reads on. */
    private static final int EARLY_ANSWER_SHARE = 4;

    private static final int MAX_READ_PAUSE_MICROS = 1_200_000;
    /** The request header with the execution time in milliseconds; the time of other requests is random. */
    static final String WORK_MILLIS = "Work-Millis";

    private final Reactor reactor;
    private final Random random;
    private final ClusterInvariantChecker invariants;
    private final List<InetSocketAddress> controlAddresses;
    private final String id;
    private final String service;
    private final String zone;
    private final TcpListener listener;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections with a complete request that has not been answered. */
    private final Set<Connection> unanswered = new HashSet<>();

    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final Set<Execution> executions = new LinkedHashSet<>();
    private int busy;
    private long sequence;
    private int controlIndex;
    private boolean crashed;
    private double spoiltShare;
    private boolean readsLate;
    private boolean left;
    private long drainLimit = Long.MAX_VALUE;

    /** Starts a checker on a free port of {@code ip}; {@code control} is a live list of control addresses. */
    SoakChecker(
            Reactor reactor,
            Random random,
            ClusterInvariantChecker invariants,
            List<InetSocketAddress> control,
            String id,
            String ip,
            int number)
            throws IOException {
        this.reactor = reactor;
        this.random = random;
        this.invariants = invariants;
        this.controlAddresses = control;
        this.id = id;
        service = SoakRun.serviceOf(number);
        zone = SoakRun.zoneOf(number);
        controlIndex = number;
        listener = new TcpListener(reactor, new InetSocketAddress(ip, 0), this::onAccepted);
        sendHeartbeat();
    }

    private void onAccepted(Connection connection) {
        connections.removeIf(known -> !known.isOpen());
        connections.add(connection);
        if (readsLate && random.nextInt(EARLY_ANSWER_SHARE) == 0) {
            new EarlyAnsweringConnection(connection, random, new EarlyAnswers());
        } else {
            new Http1ServerConnection(reactor, connection, (request, http) -> serve(request, http, connection));
        }
        pauseReadingAtTimes(connection, false);
    }

    /**
     * Sets whether connections are not read for a while at times, so that the kernel's buffers fill up. A connection
     * with a complete request is read on, because the end of its input tells that the client has left. No pause
     * follows another, so that together they stay below the time within which executions must end after a departure.
     */
    void readLate(boolean late) {
        readsLate = late;
    }

    private void pauseReadingAtTimes(Connection connection, boolean pausedBefore) {
        if (!readsLate || !connection.isOpen()) {
            return;
        }
        boolean paused = !pausedBefore && random.nextInt(PAUSE_SHARE) == 0 && !unanswered.contains(connection);
        connection.setReadPaused(paused);
        reactor.scheduleAfter(1 + random.nextInt(MAX_READ_PAUSE_MICROS), () -> pauseReadingAtTimes(connection, paused));
    }

    /** Sets the share of the answers that do not end. */
    void spoil(double share) {
        spoiltShare = share;
    }

    private void serve(Http1ServerConnection.Http1Request request, Http1ServerConnection connection, Connection tcp) {
        Http1Head head = request.head();
        String attempt = head.get("Reedmux-Attempt-Id");
        String target = head.get("Reedmux-Target-Instance");
        if (target != null && !target.equals(id)) {
            connection.respond(Http1Head.response(421).add("Reedmux-Instance-Id", id), new byte[0]);
            return;
        }
        reportArrival(attempt);
        invariants.onBodyReceived(head, id, DigestedBody.digest(request.body()));
        unanswered.add(tcp);
        if (busy < SLOTS) {
            execute(head, attempt, connection, tcp);
        } else if (queue.size() < MAX_QUEUED) {
            Runnable waiting = () -> execute(head, attempt, connection, tcp);
            queue.add(waiting);
            connection.setDisconnectListener(() -> {
                unanswered.remove(tcp);
                queue.remove(waiting);
            });
        } else {
            unanswered.remove(tcp);
            connection.respond(Http1Head.response(503).add("Reedmux-Not-Executed", "1"), new byte[0]);
        }
    }

    private void reportArrival(String attempt) {
        invariants.onRequestArrived(attempt, service, reactor.now());
        if (reactor.now() > drainLimit) {
            invariants.onInvariantViolation(
                    "DRAIN: " + attempt + " reached " + id + " long after its leave was acknowledged");
        }
    }

    /** Executes each request at once, when a part of its body has arrived. */
    private final class EarlyAnswers implements EarlyAnsweringConnection.Server {

        @Override
        public void onHead(Http1Head head) {
            if (isOwn(head)) {
                reportArrival(head.get("Reedmux-Attempt-Id"));
            }
        }

        private boolean isOwn(Http1Head head) {
            String target = head.get("Reedmux-Target-Instance");
            return target == null || target.equals(id);
        }

        @Override
        public byte[] answer(Http1Head head) {
            if (!isOwn(head)) {
                return encode(Http1Head.response(421).add("Reedmux-Instance-Id", id), "");
            }
            String attempt = head.get("Reedmux-Attempt-Id");
            invariants.onRequestExecuted(attempt, id, service, head.get("Reedmux-Tenant"), reactor.now());
            invariants.onExecutionEnded(attempt, id, true, reactor.now());
            return encode(okHead(attempt), content(attempt));
        }

        private byte[] encode(Http1Head head, String content) {
            byte[] encodedHead = head.add("Content-Length", Integer.toString(content.length()))
                    .encode();
            byte[] message = Arrays.copyOf(encodedHead, encodedHead.length + content.length());
            byte[] bytes = content.getBytes(StandardCharsets.ISO_8859_1);
            System.arraycopy(bytes, 0, message, encodedHead.length, bytes.length);
            return message;
        }

        @Override
        public void onBody(Http1Head head, String digest) {
            invariants.onBodyReceived(head, id, digest);
        }

        @Override
        public void onMalformedInput(String problem) {
            invariants.onMalformedInput(id, problem);
        }
    }

    private Http1Head okHead(String attempt) {
        return Http1Head.response(200).add("Reedmux-Attempt-Id", attempt).add("Reedmux-Server-Seal", id);
    }

    private String content(String attempt) {
        return id + ' ' + service + ' ' + attempt;
    }

    private void execute(Http1Head head, String attempt, Http1ServerConnection connection, Connection tcp) {
        if (crashed) {
            return;
        }
        busy++;
        invariants.onRequestExecuted(attempt, id, service, head.get("Reedmux-Tenant"), reactor.now());
        Execution execution = new Execution(attempt, connection, tcp, workMicros(head));
        executions.add(execution);
        connection.setDisconnectListener(() -> execution.end(false));
    }

    private long workMicros(Http1Head head) {
        String millis = head.get(WORK_MILLIS);
        if (millis != null) {
            return 1000 * Long.parseLong(millis);
        }
        return random.nextInt(LONG_REQUEST_SHARE) == 0
                ? LONG_WORK_MICROS
                : MIN_WORK_MICROS + random.nextInt(WORK_RANGE_MICROS);
    }

    /** The execution of a request, which lasts until the response is sent or the connection is closed. */
    private final class Execution {
        private final String attempt;
        private final Connection tcp;
        private final Reactor.ScheduledTask work;

        private Execution(String attempt, Http1ServerConnection connection, Connection tcp, long workMicros) {
            this.attempt = attempt;
            this.tcp = tcp;
            boolean spoilt = spoiltShare > 0 && random.nextDouble() < spoiltShare;
            work = reactor.scheduleAfter(workMicros, () -> {
                if (spoilt) {
                    SpoiltAnswer.start(reactor, tcp, random);
                    end(true);
                } else {
                    respond(connection);
                }
            });
        }

        private void respond(Http1ServerConnection connection) {
            connection.respond(okHead(attempt), content(attempt).getBytes(StandardCharsets.UTF_8));
            end(true);
        }

        private void end(boolean completed) {
            if (!executions.remove(this)) {
                return;
            }
            work.cancel();
            unanswered.remove(tcp);
            invariants.onExecutionEnded(attempt, id, completed, reactor.now());
            busy--;
            if (!queue.isEmpty()) {
                queue.poll().run();
            }
        }
    }

    /** Announces that this checker leaves, and sends no further heartbeat; it serves on for a while. */
    void leave(Runnable onAcknowledged) {
        left = true;
        sendLeave(onAcknowledged);
    }

    private void sendLeave(Runnable onAcknowledged) {
        try {
            new OneShotHttpCall(
                    reactor,
                    controlAddresses.get(controlIndex % controlAddresses.size()),
                    OneShotHttpCall.post("/v1/Instances.Leave/" + id, "{}"),
                    CALL_TIMEOUT_MICROS,
                    (status, head, text) -> onLeaveResponse(status, onAcknowledged));
        } catch (IOException e) {
            onLeaveResponse(0, onAcknowledged);
        }
    }

    private void onLeaveResponse(int status, Runnable onAcknowledged) {
        if (status != 200) {
            controlIndex++;
            reactor.scheduleAfter(LEAVE_RETRY_MICROS, () -> sendLeave(onAcknowledged));
            return;
        }
        drainLimit = reactor.now() + DRAIN_LIMIT_MICROS;
        reactor.scheduleAfter(SERVICE_AFTER_LEAVE_MICROS, this::crash);
        onAcknowledged.run();
    }

    /** Records when all processes that were killed run again. */
    void noteRestart(long restartedAt) {
        if (drainLimit != Long.MAX_VALUE) {
            drainLimit = Math.max(drainLimit, restartedAt + DRAIN_LIMIT_MICROS);
        }
    }

    private void sendHeartbeat() {
        if (crashed || left) {
            return;
        }
        try {
            InetSocketAddress address = listener.address();
            String body = "{\"plant\":\"" + service + "\",\"address\":\""
                    + address.getAddress().getHostAddress() + ':' + address.getPort() + "\",\"zone\":\"" + zone
                    + "\",\"revision\":\"v1\",\"capacity\":" + SLOTS
                    + ",\"phase\":\"ready\",\"coldLeftMs\":0,\"seq\":" + ++sequence + '}';
            new OneShotHttpCall(
                    reactor,
                    controlAddresses.get(controlIndex % controlAddresses.size()),
                    OneShotHttpCall.post("/v1/Instances.Heartbeat/" + id, body),
                    CALL_TIMEOUT_MICROS,
                    (status, head, text) -> controlIndex += status / 100 == 2 ? 0 : 1);
        } catch (IOException e) {
            controlIndex++;
        }
        reactor.scheduleAfter(HEARTBEAT_INTERVAL_MICROS, this::sendHeartbeat);
    }

    /** Closes all connections without responding to their requests; the checker continues to run. */
    void cutConnections() {
        connections.forEach(Connection::close);
        connections.clear();
        queue.clear();
        List.copyOf(executions).forEach(execution -> execution.end(false));
    }

    /** Stops without notice and without responding to its requests. */
    void crash() {
        crashed = true;
        listener.close();
        cutConnections();
    }
}
