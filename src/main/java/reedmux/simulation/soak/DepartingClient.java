package reedmux.simulation.soak;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * A client that disconnects at a random time and in one of several ways without waiting for its response, and later
 * connects again with another request. Its requests take a long time to execute, so that a checker that is not notified
 * of the departure would continue to execute them. Must be used on the reactor's thread only.
 */
final class DepartingClient {
    private static final int MAX_VISIT_MICROS = 400_000;
    private static final int MAX_PAUSE_MICROS = 150_000;
    private static final int WORK_MILLIS = 4_000;
    private static final int TIME_LEFT_MILLIS = 30_000;
    /** Exceeds the number of bytes that a proxy reads ahead while a request is in flight. */
    private static final int PIPELINED_BYTES = 200 * 1024;

    /** The ways in which a client disconnects. */
    private enum Ending {
        CLOSE,
        /** Shuts down the client's output only; the connection is closed later. */
        HALF_CLOSE,
        /** Closes the connection after only a part of the request was sent. */
        CLOSE_WITHIN_REQUEST,
        /** Closes the connection after sending unsolicited bytes behind the request. */
        CLOSE_BEHIND_MORE_INPUT
    }

    private final ClientContext context;
    private final Reactor reactor;
    private final Random random;
    private final ClusterInvariantChecker invariants;
    private final String name;
    private int visits;
    private boolean stopped;

    DepartingClient(ClientContext context, String name) {
        this.context = context;
        reactor = context.reactor();
        random = context.random();
        invariants = context.invariants();
        this.name = name;
    }

    void start() {
        if (stopped) {
            return;
        }
        try {
            new Visit().scheduleDeparture();
        } catch (IOException e) {
            scheduleNextVisit();
        }
    }

    void stop() {
        stopped = true;
    }

    private void scheduleNextVisit() {
        reactor.scheduleAfter(1 + random.nextInt(MAX_PAUSE_MICROS), this::start);
    }

    /** One connection that carries one request. */
    private final class Visit implements Connection.ConnectionHandler {
        private final String id = name + '.' + ++visits;
        private final Ending ending = Ending.values()[random.nextInt(Ending.values().length)];
        private final Connection connection;
        private boolean responseReceived;
        private boolean closed;

        private Visit() throws IOException {
            SoakMachine proxy = context.anyProxy();
            SimulatedClients.PlannedRequest planned = context.plan().get();
            connection = Connection.connect(reactor, proxy.address(SoakMachine.FRONT_PORT_OFFSET), null, this);
            context.reportSent(id, proxy, planned);
            byte[] request = OneShotHttpCall.request(
                    planned.idempotent() ? "GET" : "POST",
                    planned.path(),
                    "h.example",
                    planned.idempotent() ? "" : "some body",
                    "Reedmux-Attempt-Id: " + id + "\r\n",
                    "Reedmux-Time-Left-Ms: " + TIME_LEFT_MILLIS + "\r\n",
                    SoakChecker.WORK_MILLIS + ": " + WORK_MILLIS + "\r\n",
                    "Authorization: Bearer " + planned.key() + "\r\n");
            boolean whole = ending != Ending.CLOSE_WITHIN_REQUEST;
            connection.write(whole ? request : Arrays.copyOf(request, request.length - 1 - random.nextInt(9)));
            if (ending == Ending.CLOSE_BEHIND_MORE_INPUT) {
                connection.write(new byte[PIPELINED_BYTES]);
            }
        }

        private void scheduleDeparture() {
            reactor.scheduleAfter(1 + random.nextInt(MAX_VISIT_MICROS), this::depart);
        }

        private void depart() {
            if (closed) {
                return;
            }
            if (!responseReceived) {
                invariants.onClientLeft(id, reactor.now());
            }
            if (ending == Ending.HALF_CLOSE) {
                connection.shutdownOutput();
                reactor.scheduleAfter(MAX_VISIT_MICROS, this::close);
            } else {
                close();
            }
        }

        private void close() {
            if (!closed) {
                closed = true;
                connection.close();
                scheduleNextVisit();
            }
        }

        @Override
        public void onInput() {
            responseReceived |= connection.available() > 0;
            connection.skip(connection.available());
            if (connection.isInputEnded()) {
                close();
            }
        }

        @Override
        public void onClosed(String reason) {
            close();
        }
    }
}
