package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One simulated run of a deployment, derived from a seed: client traffic, configuration changes and faults, in some
 * runs a closing fault that stops all machines right after an acknowledgement, and a final read of the configuration.
 * Random values are drawn from seeded generators in the order of events, so a seed always reproduces the same run.
 * Times are microseconds.
 */
public final class SimulatedRun {
    private static final long SECOND = 1_000_000;
    /** Time from the start of the deployment to the start of traffic. */
    private static final long WARM_UP_MICROS = 6 * SECOND;
    /** Duration of the traffic with faults in a usual run. */
    private static final long LENGTH_MICROS = 26 * SECOND;
    /** Duration of the traffic with faults in a run with one category of faults. */
    private static final long STORM_LENGTH_MICROS = 60 * SECOND;
    /** Time after the faults before the final read of the configuration. */
    private static final long SETTLE_MICROS = 19 * SECOND;
    /** Time after the restart from the closing fault until requests are counted for the recovery check. */
    private static final long RECOVERY_MICROS = 15 * SECOND;

    private static final int MIN_CHECKERS = 12;
    /** Requests that a surging tenant sends per {@link #SURGE_INTERVAL_MICROS}. */
    private static final int SURGE_REQUESTS = 8;

    private static final long SURGE_INTERVAL_MICROS = 25_000;
    private static final int ZONES = 3;
    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants = new ClusterInvariantChecker();
    private final ConfigurationGenerator configurations;
    private final SimulatedClients clients;
    private final List<SimulatedOperator> operators = new ArrayList<>();
    private final CheckerFleet checkers;
    private final List<String> faultLog = new ArrayList<>();
    private final Random random;
    private final Consumer<String> log;
    private final RunOptions options;
    private long startedAt;
    /** The time from which the core counts as recovered from its last fault. */
    private long coreHealthyAt;
    /** Runs once when the next change of the first operator is acknowledged; null if there is no such action. */
    private Runnable onNextAcknowledgement;
    /** Runs once for the next control machine that acknowledges a drain; null if there is no such action. */
    private Consumer<Deployment.DeployedNode> onNextDrainAcknowledgement;

    /**
     * The result of a run.
     *
     * @param seed            the seed of the run
     * @param violations      the violated invariants; empty if the run passed
     * @param faults          the injected faults, each with the seconds since the start of traffic
     * @param digest          the digest of all observations; a rerun of the seed yields the same one
     * @param requests        the number of client requests
     * @param served          the number of client requests that were served
     * @param events          the number of simulated events
     * @param simulatedMicros the simulated duration of the run
     */
    public record RunOutcome(
            long seed,
            List<String> violations,
            List<String> faults,
            long digest,
            long requests,
            long served,
            long events,
            long simulatedMicros) {}

    /**
     * The options that all runs of a batch share.
     *
     * @param proxies           number of proxies, spread over the zones
     * @param cores             number of core machines, spread over the zones
     * @param requestsPerSecond client requests per second for each proxy
     * @param storm             whether operators continuously send conflicting changes while the core has faults
     * @param faultCategory     1 to 5 for a long run with one category of faults, see {@link FaultStorm}; 0 for a run
     *                          of the usual length with faults of all kinds
     * @param replacesAddresses whether core machines are also replaced by machines at other addresses
     */
    public record RunOptions(
            int proxies,
            int cores,
            double requestsPerSecond,
            boolean storm,
            int faultCategory,
            boolean replacesAddresses) {

        /** Creates the options of a run with faults of all kinds, of the usual length. */
        public RunOptions(int proxies, int cores, double requestsPerSecond, boolean storm) {
            this(proxies, cores, requestsPerSecond, storm, 0, false);
        }
    }

    private SimulatedRun(long seed, RunOptions options, Consumer<String> log) {
        this.log = log;
        this.options = options;
        simulation = new ClusterSimulation(seed);
        random = new Random(seed * 31 + 7);
        deployment = new Deployment(simulation, options.proxies(), options.cores(), log);
        checkers = new CheckerFleet(simulation, deployment, invariants, this::onDrainAcknowledged);
        configurations = new ConfigurationGenerator(random);
        clients = new SimulatedClients(simulation, deployment, invariants);
        invariants.setQuota(ConfigurationGenerator.QUOTA_RATE, ConfigurationGenerator.QUOTA_BURST);
        deployment.onUnexpectedExit(invariants::onUnexpectedExit);
        deployment.onInvariantViolation(invariants::onInvariantViolation);
        for (int i = 0; i < 2; i++) {
            operators.add(
                    new SimulatedOperator(simulation, "10.8.0." + (i + 1), deployment.controlAddresses(), invariants));
        }
    }

    /** Executes one run; {@code log} receives the log lines of the processes and the injected faults. */
    public static RunOutcome run(long seed, RunOptions options, Consumer<String> log) {
        return new SimulatedRun(seed, options, log).run(seed);
    }

    void logFault(String description) {
        String line = String.format("%.3f %s", (simulation.now() - startedAt) / 1e6, description);
        faultLog.add(line);
        log.accept("fault: " + line);
    }

    private RunOutcome run(long seed) {
        startedAt = simulation.now() + WARM_UP_MICROS;
        startDeployment();
        simulation.runFor(WARM_UP_MICROS);
        long length = options.faultCategory() > 0 ? STORM_LENGTH_MICROS : LENGTH_MICROS;
        long end = startedAt + length;
        sendTraffic(end + SETTLE_MICROS + SECOND);
        sendProbes(end + SETTLE_MICROS);
        if (options.faultCategory() > 0) {
            new FaultStorm(
                            this,
                            options.faultCategory(),
                            options.replacesAddresses(),
                            simulation,
                            deployment,
                            invariants,
                            configurations,
                            operators,
                            random)
                    .start(end);
        } else {
            sendChanges(end - SECOND);
            new RandomFaults(this, options, simulation, deployment, invariants, configurations, checkers, random)
                    .start(end - 2 * SECOND);
        }
        simulation.runFor(length);
        String rule = "CONFIG";
        if (random.nextInt(3) == 0 && simulation.now() >= coreHealthyAt) {
            rule = "LOST";
            operators
                    .get(0)
                    .changeConfiguration(
                            configurations.validChange(),
                            ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                            ConfigurationGenerator::visibleEffect,
                            status -> {
                                if (status == 200) {
                                    injectClosingFault();
                                }
                            });
        }
        simulation.runFor(SETTLE_MICROS);
        if (rule.equals("LOST")) {
            invariants.checkRecovery(clients.countedRequests(), clients.countedServed());
        }
        checkFinalConfiguration(rule);
        return new RunOutcome(
                seed,
                invariants.violations(),
                faultLog,
                simulation.digest(),
                invariants.requestCount(),
                invariants.servedCount(),
                simulation.events(),
                simulation.now() - startedAt + WARM_UP_MICROS);
    }

    private void startDeployment() {
        deployment.start();
        long syncMicros = new long[] {500, 2_000, 10_000}[random.nextInt(3)];
        deployment.coreNodes().forEach(core -> core.machine().disk().setSyncMicros(syncMicros));
        int checkerCount = Math.max(MIN_CHECKERS, deployment.proxies().size());
        for (int i = 0; i < checkerCount; i++) {
            checkers.start(
                    new SimulatedMachine(
                            simulation, "10.3." + i / 200 + '.' + (1 + i % 200), Deployment.ZONES[i % ZONES], false),
                    i % 2);
        }
        operators
                .get(0)
                .changeConfiguration(
                        configurations.initialChange(),
                        ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                        ConfigurationGenerator::visibleEffect,
                        status -> {});
    }

    /** Reads the configuration as an operator does; a lost change is reported as a violation of {@code rule}. */
    private void checkFinalConfiguration(String rule) {
        String[] read = {null};
        long[] sentAt = {0};
        operators.get(0).readUntil(simulation.now() + 3 * SECOND, (text, since) -> {
            read[0] = text;
            sentAt[0] = since;
        });
        simulation.runFor(6 * SECOND);
        invariants.checkFinalRead(read[0], rule, sentAt[0]);
        invariants.checkWindows();
        simulation.addToDigest(String.valueOf(read[0]));
    }

    // ---- Load --------------------------------------------------------------------------------------
    private void onDrainAcknowledged(String ip) {
        Consumer<Deployment.DeployedNode> action = onNextDrainAcknowledgement;
        if (action != null && simulation.now() >= coreHealthyAt) {
            onNextDrainAcknowledgement = null;
            deployment.coreNodes().stream()
                    .filter(core -> core.machine().ip().equals(ip))
                    .forEach(action);
        }
    }

    private void sendTraffic(long until) {
        clients.request(configurations.planRequest());
        if (simulation.now() < until) {
            double mean =
                    SECOND / (options.requestsPerSecond() * deployment.proxies().size());
            simulation.scheduleAfter((long) (-Math.log(1 - random.nextDouble()) * mean), () -> sendTraffic(until));
        }
    }

    private void sendProbes(long until) {
        clients.probeConfiguration(
                deployment.proxies().get(random.nextInt(deployment.proxies().size())),
                configurations.planProbe(),
                configurations::isReplaced);
        if (simulation.now() < until) {
            simulation.scheduleAfter(400_000 / deployment.proxies().size(), () -> sendProbes(until));
        }
    }

    private void sendChanges(long until) {
        if (simulation.now() > until) {
            return;
        }
        switch (options.storm() ? Math.min(2, 1 + random.nextInt(6) / 5) : random.nextInt(6)) {
            case 0 ->
                operators
                        .get(1)
                        .changeConfiguration(
                                configurations.invalidChange(),
                                ClusterInvariantChecker.ExpectedDecision.REJECT,
                                ConfigurationGenerator::visibleEffect,
                                status -> {});
            case 1 -> {
                var pair = configurations.concurrentPair();
                for (int i = 0; i < 2; i++) {
                    operators
                            .get(i)
                            .changeConfiguration(
                                    pair.getValue().get(i),
                                    pair.getKey()
                                            ? ClusterInvariantChecker.ExpectedDecision.ACCEPT
                                            : ClusterInvariantChecker.ExpectedDecision.EITHER,
                                    ConfigurationGenerator::visibleEffect,
                                    status -> {});
                }
            }
            default ->
                operators
                        .get(0)
                        .changeConfiguration(
                                configurations.validChange(),
                                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                                ConfigurationGenerator::visibleEffect,
                                status -> {
                                    Runnable action = onNextAcknowledgement;
                                    if (status == 200 && action != null) {
                                        onNextAcknowledgement = null;
                                        action.run();
                                    }
                                });
        }
        boolean soon = random.nextInt(8) == 0;
        long pause = options.storm()
                ? soon ? 10_000 : 50_000 + random.nextInt(300_000)
                : soon ? 100_000 : 400_000 + random.nextInt(1_400_000);
        simulation.scheduleAfter(pause, () -> sendChanges(until));
    }

    // ---- Faults ------------------------------------------------------------------------------------
    private Deployment.DeployedNode randomNode(List<Deployment.DeployedNode> nodes) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    /**
     * Records a fault of the core that lasts {@code durationMicros}. No other core fault is injected until the core has
     * had five more seconds to recover.
     *
     * @param node         the failed machine, or null if the fault is not of one machine only
     * @param majorityLost whether the core has no majority during the fault
     */
    void noteCoreFault(Deployment.DeployedNode node, long durationMicros, boolean majorityLost) {
        invariants.addCoreFault(simulation.now(), simulation.now() + durationMicros, majorityLost);
        if (node != null) {
            invariants.addMachineFault(node.name(), simulation.now(), simulation.now() + durationMicros);
            invariants.addMachineFault(node.machine().ip(), simulation.now(), simulation.now() + durationMicros);
        }
        coreHealthyAt = Math.max(coreHealthyAt, simulation.now() + durationMicros + 5 * SECOND);
    }

    /** Returns whether the core has recovered from its last fault, so that another one may be injected. */
    boolean isCoreHealthy() {
        return simulation.now() >= coreHealthyAt;
    }

    /** Sets the time from which the core counts as recovered. */
    void setCoreHealthyAt(long time) {
        coreHealthyAt = time;
    }

    /** Sets the action that runs when the next change of the first operator is acknowledged. */
    void onNextAcknowledgement(Runnable action) {
        onNextAcknowledgement = action;
    }

    /** Sets the action applied to the next control machine that acknowledges a drain while the core is healthy. */
    void onNextDrainAcknowledgement(Consumer<Deployment.DeployedNode> action) {
        onNextDrainAcknowledgement = action;
    }

    /** Drains a checker, which keeps serving {@code lingerMicros} longer than required, and replaces it. */
    void drainAndReplace(SimulatedChecker checker, long lingerMicros) {
        logFault(checker.id() + " drains and keeps serving for " + lingerMicros / 1000 + " ms longer than required");
        checker.drain(lingerMicros);
        checkers.replaceOnceEnded(checker, checker.machine(), random.nextInt(2));
    }

    /** Returns a live view of the checkers that have not ended. */
    List<SimulatedChecker> checkers() {
        return checkers.all();
    }

    /** Sends many times the usual request rate of one tenant until the simulated time {@code until}. */
    void surge(String tenant, long until) {
        for (int i = 0; i < SURGE_REQUESTS; i++) {
            clients.request(configurations.planRequest(tenant));
        }
        if (simulation.now() < until) {
            simulation.scheduleAfter(SURGE_INTERVAL_MICROS, () -> surge(tenant, until));
        }
    }

    /** Injects the closing fault right after an acknowledgement: kills all processes or cuts the power everywhere. */
    private void injectClosingFault() {
        List<Deployment.DeployedNode> all = new ArrayList<>(deployment.coreNodes());
        all.addAll(deployment.proxies());
        long downMicros = 500_000 + random.nextInt(1_500_000);
        int kind = random.nextInt(3);
        Deployment.DeployedNode wiped = kind == 2 ? randomNode(deployment.coreNodes()) : null;
        logFault(
                kind == 0
                        ? "all processes are killed"
                        : "all machines lose power"
                                + (wiped == null ? "" : ", and the disk of " + wiped.name() + " is lost"));
        invariants.addCoreFault(simulation.now(), simulation.now() + downMicros + SECOND, true);
        for (Deployment.DeployedNode node : all) {
            invariants.addMachineFault(node.name(), simulation.now(), simulation.now() + downMicros + SECOND);
            if (kind == 0) {
                node.kill(downMicros);
            } else {
                node.losePower(downMicros, node == wiped);
            }
        }
        simulation.scheduleAfter(downMicros + RECOVERY_MICROS, clients::countFromNow);
    }
}
