package reedmux.simulation.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reedmux.common.eventloop.Reactor;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * An operator that resends a change unmodified to one control machine after another until the response is definitive.
 * To be used on the thread of the reactor, in virtual time or with real sockets.
 */
public final class SimulatedOperator {
    private static final long CALL_TIMEOUT_MICROS = 1_000_000;
    /** How long an operator resends a change without a definitive response before it abandons the change. */
    private static final long GIVE_UP_MICROS = 12_000_000;

    private static final long FIRST_BACKOFF_MICROS = 100_000;
    private static final long MAX_BACKOFF_MICROS = 800_000;
    private static final byte[] READ_REQUEST = OneShotHttpCall.request("GET", "/v1/Config.Read", "control", "");
    private final Reactor reactor;
    private final LongSupplier clock;
    private final Random random;
    /** Receives a text for each response, so that two runs can be compared. */
    private final Consumer<String> digest;

    private final ClusterInvariantChecker invariants;
    private final List<InetSocketAddress> controlAddresses;
    /** The fraction of definitive responses that are lost in transit; such a change is resent later. */
    private double lostResponseShare;

    /** How long after a lost response the change is resent. */
    private long resendMicros;

    private int pendingChanges;
    private String lastAcknowledgedBy = "";
    /** Receives the target address each time a change is sent. */
    private Consumer<String> sentListener = ip -> {};

    SimulatedOperator(
            ClusterSimulation simulation,
            String ip,
            List<InetSocketAddress> controlAddresses,
            ClusterInvariantChecker invariants) {
        this(
                new SimulatedProcess(
                                simulation,
                                new SimulatedMachine(simulation, ip, Deployment.ZONES[0], false),
                                "operator " + ip,
                                0,
                                line -> {})
                        .reactor(),
                simulation::now,
                simulation.random(),
                controlAddresses,
                invariants,
                simulation::addToDigest);
    }

    /**
     * Creates an operator on a reactor.
     *
     * @param clock            the time in microseconds; the clock of the reactor itself only advances at its events
     * @param controlAddresses the known control addresses, a live list
     * @param digest           receives a text for each response, so that two runs can be compared
     */
    public SimulatedOperator(
            Reactor reactor,
            LongSupplier clock,
            Random random,
            List<InetSocketAddress> controlAddresses,
            ClusterInvariantChecker invariants,
            Consumer<String> digest) {
        this.reactor = reactor;
        this.clock = clock;
        this.random = random;
        this.digest = digest;
        this.invariants = invariants;
        this.controlAddresses = controlAddresses;
    }

    /** Loses a fraction of the definitive responses; such a change is resent after {@code resendDelayMicros}. */
    public void loseResponses(double share, long resendDelayMicros) {
        lostResponseShare = share;
        resendMicros = resendDelayMicros;
    }

    void onSent(Consumer<String> listener) {
        sentListener = listener;
    }

    /** Returns the address of the control machine that acknowledged the last change, or an empty string. */
    String lastAcknowledgedBy() {
        return lastAcknowledgedBy;
    }

    /** Returns the number of changes that have no definitive response yet. */
    int pendingChanges() {
        return pendingChanges;
    }

    /** Determines how requests reveal that a version is in force. */
    public interface VisibleEffect {
        /** Returns the effect of an item; see {@link ClusterInvariantChecker#onVersionSent}. */
        String of(ConfigurationItem item);
    }

    /** Sends a change; {@code callback} receives the final HTTP status, or 0 if the operator abandons the change. */
    public void changeConfiguration(
            String body,
            ClusterInvariantChecker.ExpectedDecision expected,
            VisibleEffect visibleEffect,
            Consumer<Integer> callback) {
        List<ConfigurationItem> items;
        try {
            items = ConfigurationChangeFormat.parse(body);
        } catch (InvalidConfigurationException e) {
            items = List.of(); // an invalid change may not be parseable
        }
        long now = clock.getAsLong();
        items.forEach(item -> invariants.onVersionSent(item, visibleEffect.of(item), now));
        pendingChanges++;
        send(body, items, expected, now, FIRST_BACKOFF_MICROS, null, status -> {
            pendingChanges--;
            callback.accept(status);
        });
    }

    private InetSocketAddress randomAddress() {
        return controlAddresses.get(random.nextInt(controlAddresses.size()));
    }

    /** Returns a random address that differs from the previous one, if there is more than one. */
    private InetSocketAddress otherAddress(InetSocketAddress previous) {
        InetSocketAddress to = randomAddress();
        if (to.equals(previous) && controlAddresses.size() > 1) {
            to = controlAddresses.get((controlAddresses.indexOf(to) + 1) % controlAddresses.size());
        }
        return to;
    }

    private void send(
            String body,
            List<ConfigurationItem> items,
            ClusterInvariantChecker.ExpectedDecision expected,
            long sentAt,
            long backoffMicros,
            InetSocketAddress previous,
            Consumer<Integer> callback) {
        InetSocketAddress to = otherAddress(previous);
        sentListener.accept(to.getAddress().getHostAddress());
        call(to, OneShotHttpCall.post("/v1/Config.Adjust", body), (status, text) -> {
            digest.accept("adjust " + status);
            lastAcknowledgedBy = status == 200 ? to.getAddress().getHostAddress() : lastAcknowledgedBy;
            boolean definitive = status == 200 || status >= 400 && status < 500 && status != 408 && status != 429;
            if (definitive && lostResponseShare > 0 && random.nextDouble() < lostResponseShare) {
                if (status == 200) {
                    invariants.onChangeAcknowledged(items, expected, sentAt, clock.getAsLong());
                } else {
                    invariants.onChangeRejected(items, expected, true, sentAt, clock.getAsLong());
                }
                reactor.scheduleAfter(
                        resendMicros,
                        () -> send(body, items, expected, clock.getAsLong(), FIRST_BACKOFF_MICROS, to, callback));
            } else if (status == 200) {
                invariants.onChangeAcknowledged(items, expected, sentAt, clock.getAsLong());
                callback.accept(status);
            } else if (definitive) {
                invariants.onChangeRejected(items, expected, true, sentAt, clock.getAsLong());
                callback.accept(status);
            } else if (clock.getAsLong() - sentAt > GIVE_UP_MICROS) {
                invariants.onChangeRejected(items, expected, false, sentAt, clock.getAsLong());
                callback.accept(0);
            } else {
                reactor.scheduleAfter(
                        backoffMicros,
                        () -> send(
                                body,
                                items,
                                expected,
                                sentAt,
                                Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros),
                                to,
                                callback));
            }
        });
    }

    private interface OperatorCallback {
        void onResponse(int status, String text);
    }

    private void call(InetSocketAddress to, byte[] request, OperatorCallback callback) {
        reactor.execute(() -> {
            try {
                new OneShotHttpCall(
                        reactor,
                        to,
                        request,
                        CALL_TIMEOUT_MICROS,
                        (status, head, text) -> callback.onResponse(status, text));
            } catch (IOException e) {
                callback.onResponse(0, e.getMessage());
            }
        });
    }

    /** Reads the configuration once from a random control machine. */
    public void readOnce() {
        long sentAt = clock.getAsLong();
        call(randomAddress(), READ_REQUEST, (status, text) -> {
            digest.accept("read " + status);
            if (status == 200) {
                invariants.checkRead(text, sentAt);
            }
        });
    }

    /**
     * Reads the configuration and retries until the time {@code until}. The callback receives the text, or null if all
     * attempts failed, and the time at which the last attempt was sent.
     */
    public void readUntil(long until, BiConsumer<String, Long> callback) {
        long sentAt = clock.getAsLong();
        call(randomAddress(), READ_REQUEST, (status, text) -> {
            if (status == 200) {
                callback.accept(text, sentAt);
            } else if (clock.getAsLong() > until) {
                callback.accept(null, sentAt);
            } else {
                reactor.scheduleAfter(FIRST_BACKOFF_MICROS, () -> readUntil(until, callback));
            }
        });
    }
}
