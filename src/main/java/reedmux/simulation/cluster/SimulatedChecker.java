package reedmux.simulation.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.simulation.harness.DigestedBody;
import reedmux.simulation.harness.OneShotHttpCall;

/** One incarnation of a checker; its machine and address may have belonged to another checker before. */
final class SimulatedChecker {
    private static final long HEARTBEAT_INTERVAL_MICROS = 1_500_000;
    private static final long CALL_TIMEOUT_MICROS = 1_000_000;
    /** How long a checker keeps serving after its drain is acknowledged. */
    private static final long DRAIN_MICROS = 2_300_000;
    /** How long a checker waits for the acknowledgement of its drain before it deregisters without one. */
    private static final long DRAIN_TIMEOUT_MICROS = 5_000_000;
    /** Number of requests that a checker executes concurrently. */
    private static final int SLOTS = 3;

    private static final int MAX_QUEUED = 12;
    /** One in this many connections is not read at times. */
    private static final int LATE_READING_SHARE = 6;

    private static final int MAX_READING_PAUSE_MICROS = 100_000;
    private static final int PORT = 8080;
    private static final int MIN_WORK_MICROS = 40_000;
    private static final int WORK_RANGE_MICROS = 80_000;
    /** Request header with the execution time in milliseconds; requests without it get a random execution time. */
    static final String WORK_MILLIS = "Work-Millis";

    private final SimulatedProcess process;
    private final ClusterSimulation simulation;
    private final ClusterInvariantChecker invariants;
    private final String id;
    private final String service;
    private final List<InetSocketAddress> controlAddresses;
    private final Runnable exitListener;
    /** Receives the address of the control machine that acknowledged the drain. */
    private final java.util.function.Consumer<String> drainListener;

    private final Deque<Runnable> queue = new ArrayDeque<>();
    private int busy;
    private boolean draining;
    private long drainingAt;
    private boolean drainAcknowledged;
    private long sequence;
    private int controlIndex;
    /** The fraction of responses that are dropped after execution by closing the connection. */
    private double lostResponseShare;

    /** The fraction of responses that are late, duplicate, incomplete or missing. */
    private double faultyResponseShare;
    /** How much longer than required this checker serves after its drain is acknowledged. */
    private long lingerMicros;

    SimulatedChecker(
            ClusterSimulation simulation,
            SimulatedMachine machine,
            String id,
            String service,
            List<InetSocketAddress> controlAddresses,
            ClusterInvariantChecker invariants,
            Runnable exitListener,
            java.util.function.Consumer<String> drainListener) {
        this.simulation = simulation;
        this.invariants = invariants;
        this.id = id;
        this.service = service;
        this.controlAddresses = controlAddresses;
        this.exitListener = exitListener;
        this.drainListener = drainListener;
        controlIndex = simulation.random().nextInt(controlAddresses.size());
        process = new SimulatedProcess(simulation, machine, id, 0, line -> {});
        try {
            new TcpListener(process.reactor(), new InetSocketAddress(machine.ip(), PORT), this::onAccepted);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        process.reactor()
                .scheduleAfter(
                        simulation.random().nextInt((int) HEARTBEAT_INTERVAL_MICROS / 4), () -> sendHeartbeat(0));
        process.submit(() -> {});
    }

    String id() {
        return id;
    }

    SimulatedMachine machine() {
        return process.machine();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean isDraining() {
        return draining;
    }

    void loseResponses(double share) {
        lostResponseShare = share;
    }

    /** Makes a fraction of the responses late, duplicate, incomplete or missing. */
    void sendFaultyResponses(double share) {
        faultyResponseShare = share;
    }

    // ---- Requests ----------------------------------------------------------------------------------
    private void onAccepted(Connection connection) {
        new Http1ServerConnection(process.reactor(), connection, this::serve);
        if (simulation.random().nextInt(LATE_READING_SHARE) == 0) {
            readLate(connection);
        }
    }

    /** Pauses reading from a connection at times, so that what is sent to it fills the buffers of its sender. */
    private void readLate(Connection connection) {
        if (!connection.isOpen()) {
            return;
        }
        long pauseMicros = 1 + simulation.random().nextInt(MAX_READING_PAUSE_MICROS);
        connection.setReadPaused(true);
        process.reactor().scheduleAfter(pauseMicros, () -> connection.setReadPaused(false));
        process.reactor()
                .scheduleAfter(
                        pauseMicros + simulation.random().nextInt(8 * MAX_READING_PAUSE_MICROS),
                        () -> readLate(connection));
    }

    private void serve(Http1ServerConnection.Http1Request request, Http1ServerConnection connection) {
        Http1Head head = request.head();
        String attempt = head.get("Reedmux-Attempt-Id");
        String target = head.get("Reedmux-Target-Instance");
        if (target != null && !target.equals(id)) {
            connection.respond(Http1Head.response(421).add("Reedmux-Instance-Id", id), new byte[0]);
            return;
        }
        invariants.onRequestArrived(attempt, service, process.now());
        invariants.onBodyReceived(head, id, DigestedBody.digest(request.body()));
        if (attempt == null) {
            connection.respond(Http1Head.response(400).add("Reedmux-Not-Executed", "1"), new byte[0]);
        } else if (busy < SLOTS) {
            execute(head, attempt, connection);
        } else if (queue.size() < MAX_QUEUED) {
            Runnable waiting = () -> execute(head, attempt, connection);
            queue.add(waiting);
            connection.setDisconnectListener(() -> queue.remove(waiting));
        } else {
            connection.respond(Http1Head.response(503).add("Reedmux-Not-Executed", "1"), new byte[0]);
        }
    }

    private void execute(Http1Head head, String attempt, Http1ServerConnection connection) {
        busy++;
        invariants.onRequestExecuted(attempt, id, service, head.get("Reedmux-Tenant"), process.now());
        simulation.addToDigest(id + " runs " + attempt);
        Reactor.ScheduledTask work = process.reactor().scheduleAfter(workMicros(head), () -> {
            connection.setDisconnectListener(null);
            if (simulation.random().nextDouble() < lostResponseShare) {
                connection.sendRawAndClose(new byte[0]);
            } else if (faultyResponseShare > 0 && simulation.random().nextDouble() < faultyResponseShare) {
                respondFaultily(attempt, connection);
            } else {
                respond(attempt, connection);
            }
            endExecution(attempt, true);
        });
        connection.setDisconnectListener(() -> {
            work.cancel();
            endExecution(attempt, false);
        });
    }

    private long workMicros(Http1Head head) {
        long drawn = MIN_WORK_MICROS + simulation.random().nextInt(WORK_RANGE_MICROS);
        String millis = head.get(WORK_MILLIS);
        return millis == null ? drawn : 1000 * Long.parseLong(millis);
    }

    /** Frees the slot of an execution that completed, or that was aborted because its connection was closed. */
    private void endExecution(String attempt, boolean completed) {
        invariants.onExecutionEnded(attempt, id, completed, process.now());
        busy--;
        if (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    private void respond(String attempt, Http1ServerConnection connection) {
        connection.respond(
                Http1Head.response(200).add("Reedmux-Attempt-Id", attempt).add("Reedmux-Server-Seal", id),
                content(attempt));
    }

    private byte[] content(String attempt) {
        return (id + ' ' + service + ' ' + attempt).getBytes(StandardCharsets.UTF_8);
    }

    private void respondFaultily(String attempt, Http1ServerConnection connection) {
        byte[] response = encodedResponse(attempt);
        switch (simulation.random().nextInt(6)) {
            case 0 ->
                process.reactor()
                        .scheduleAfter(
                                500_000 + simulation.random().nextInt(2_500_000), () -> respond(attempt, connection));
            case 1 ->
                connection.sendRawAndClose(java.util.Arrays.copyOf(
                        response, 1 + simulation.random().nextInt(response.length - 1)));
            case 2, 3 -> { // duplicate response, immediately or when the connection may already carry another request
                respond(attempt, connection);
                process.reactor()
                        .scheduleAfter(
                                simulation.random().nextInt(3) == 0
                                        ? 0
                                        : simulation.random().nextInt(60_000),
                                () -> connection.sendUnsolicited(response));
            }
            case 4 -> {
                connection.sendUnsolicited("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                respond(attempt, connection);
            }
            default -> {}
        }
    }

    private byte[] encodedResponse(String attempt) {
        byte[] content = content(attempt);
        byte[] head = Http1Head.response(200)
                .add("Reedmux-Attempt-Id", attempt)
                .add("Reedmux-Server-Seal", id)
                .add("Content-Length", Integer.toString(content.length))
                .encode();
        byte[] response = java.util.Arrays.copyOf(head, head.length + content.length);
        System.arraycopy(content, 0, response, head.length, content.length);
        return response;
    }

    // ---- Heartbeats --------------------------------------------------------------------------------
    private void sendHeartbeat(int failures) {
        if (!process.isAlive()) {
            return;
        }
        boolean announcesDrain = draining;
        String body = "{\"plant\":\"" + service + "\",\"address\":\""
                + process.machine().ip() + ':' + PORT
                + "\",\"zone\":\"" + process.machine().zone() + "\",\"revision\":\"v1\",\"capacity\":" + SLOTS
                + ",\"phase\":\"" + (announcesDrain ? "draining" : "ready") + "\",\"coldLeftMs\":0,\"seq\":"
                + ++sequence
                + '}';
        callControl("/v1/Instances.Heartbeat/" + id, body, succeeded -> {
            if (succeeded && announcesDrain && !drainAcknowledged) {
                drainAcknowledged = true;
                String acknowledger = controlAddresses
                        .get(controlIndex % controlAddresses.size())
                        .getAddress()
                        .getHostAddress();
                invariants.onDrainAcknowledged(id, acknowledger, process.now());
                drainListener.accept(acknowledger);
                process.reactor().scheduleAfter(DRAIN_MICROS + lingerMicros, () -> deregister(0));
            } else if (!succeeded && failures < controlAddresses.size()) {
                controlIndex++;
                sendHeartbeat(failures + 1);
                return;
            } else if (announcesDrain && !drainAcknowledged) {
                if (process.now() - drainingAt > DRAIN_TIMEOUT_MICROS) {
                    invariants.onDrainUnacknowledged(drainingAt, process.now());
                    deregister(0);
                    return;
                }
            }
            if (announcesDrain == draining) {
                process.reactor()
                        .scheduleAfter(
                                announcesDrain && !drainAcknowledged ? 200_000 : HEARTBEAT_INTERVAL_MICROS,
                                () -> sendHeartbeat(0));
            }
        });
    }

    private void deregister(int failures) {
        callControl("/v1/Instances.Leave/" + id, "{}", succeeded -> {
            if (succeeded || failures >= 3) {
                process.kill();
                exitListener.run();
            } else {
                controlIndex++;
                deregister(failures + 1);
            }
        });
    }

    private void callControl(String path, String body, java.util.function.Consumer<Boolean> callback) {
        try {
            new OneShotHttpCall(
                    process.reactor(),
                    controlAddresses.get(controlIndex % controlAddresses.size()),
                    OneShotHttpCall.post(path, body),
                    CALL_TIMEOUT_MICROS,
                    (status, head, text) -> callback.accept(status / 100 == 2));
        } catch (IOException e) {
            callback.accept(false);
        }
    }

    /** Begins to drain, and keeps serving {@code extraMicros} longer than required. */
    void drain(long extraMicros) {
        lingerMicros = extraMicros;
        drain();
    }

    /** Begins to drain: announces it by heartbeat, and deregisters some time after the acknowledgement. */
    void drain() {
        if (!draining) {
            draining = true;
            drainingAt = process.now();
            process.reactor().execute(() -> sendHeartbeat(0));
        }
    }

    /** Kills the process of the checker without deregistering it. */
    void crash() {
        process.kill();
        exitListener.run();
    }
}
