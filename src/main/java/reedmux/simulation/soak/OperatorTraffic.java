package reedmux.simulation.soak;

import java.util.List;
import java.util.Random;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.cluster.ClusterInvariantChecker.ExpectedDecision;
import reedmux.simulation.cluster.ConfigurationGenerator;
import reedmux.simulation.cluster.SimulatedOperator;

/**
 * The operators of a soak, who change and read the configuration at random times. Changes are sent before earlier ones
 * are decided, in concurrent pairs that may conflict and in series, and some of them are invalid. Must be used on the
 * reactor's thread only.
 */
final class OperatorTraffic {
    private static final int MAX_CHANGE_INTERVAL_MICROS = 400_000;
    private static final int MAX_READ_INTERVAL_MICROS = 300_000;
    private static final int CHANGES_IN_SERIES = 12;

    private final Reactor reactor;
    private final Random random;
    private final List<SimulatedOperator> operators;
    private final ConfigurationGenerator configurations;
    private boolean stopped;

    /** Creates the traffic of exactly two {@code operators}. */
    OperatorTraffic(
            Reactor reactor, Random random, List<SimulatedOperator> operators, ConfigurationGenerator configurations) {
        this.reactor = reactor;
        this.random = random;
        this.operators = operators;
        this.configurations = configurations;
    }

    void start() {
        sendChanges();
        sendReads();
    }

    /** Stops sending changes and reads; those in flight still complete. */
    void stop() {
        stopped = true;
    }

    private void sendChanges() {
        if (stopped) {
            return;
        }
        switch (random.nextInt(16)) {
            case 0 -> sendSeries(CHANGES_IN_SERIES);
            case 1, 2 -> change(1, configurations.invalidChange(), ExpectedDecision.REJECT);
            case 3, 4, 5, 6 -> {
                var pair = configurations.concurrentPair();
                ExpectedDecision expected = pair.getKey() ? ExpectedDecision.ACCEPT : ExpectedDecision.EITHER;
                change(0, pair.getValue().get(0), expected);
                change(1, pair.getValue().get(1), expected);
            }
            default -> change(0, configurations.validChange(), ExpectedDecision.ACCEPT);
        }
        reactor.scheduleAfter(1 + random.nextInt(MAX_CHANGE_INTERVAL_MICROS), this::sendChanges);
    }

    /** Sends each change once the previous one of the series is decided, concurrently with other traffic. */
    private void sendSeries(int remaining) {
        if (!stopped && remaining > 0) {
            operators
                    .get(1)
                    .changeConfiguration(
                            configurations.validChange(),
                            ExpectedDecision.ACCEPT,
                            ConfigurationGenerator::visibleEffect,
                            status -> sendSeries(remaining - 1));
        }
    }

    private void change(int operator, String body, ExpectedDecision expected) {
        operators
                .get(operator)
                .changeConfiguration(body, expected, ConfigurationGenerator::visibleEffect, status -> {});
    }

    private void sendReads() {
        if (stopped) {
            return;
        }
        operators.get(random.nextInt(operators.size())).readOnce();
        reactor.scheduleAfter(1 + random.nextInt(MAX_READ_INTERVAL_MICROS), this::sendReads);
    }
}
