package reedmux.simulation.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.ConfigurationGenerator;
import reedmux.simulation.cluster.SimulatedOperator;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Runs one soak. It starts the processes and runs clients, operators and faults concurrently for a while. Then it
 * checks that the gateway has recovered, that no acknowledged change is lost, that no program has reported a violated
 * invariant, and that the proxies shut down gracefully.
 *
 * <p>Everything except {@link #run} and the cleanup runs on the thread of one reactor.
 */
public final class SoakRun implements SoakMachine.Fleet {
    private static final long SECOND = 1_000_000;
    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    private static final String HOST_PREFIX = "127.";
    private static final int MAX_FIRST_PORT = 60_000;
    private static final int SEEDS = 3;
    private static final int STATUS_OK = 200;
    /** The maximum duration of the start of all processes. */
    private static final long START_TIMEOUT_MICROS = 90 * SECOND;

    /** The maximum duration of the recovery after the last fault. */
    private static final long RECOVERY_TIMEOUT_MICROS = 25 * SECOND;

    private static final long POLL_MICROS = SECOND / 4;
    private static final long FINAL_READ_MICROS = 5 * SECOND;
    /**
     * The time after the departure of a client within which the execution of its request must end. Any process may be
     * late on a host with hundreds of them; a checker that is not notified of the departure takes longer than this.
     */
    private static final long DEPARTURE_LIMIT_MICROS = 2 * SECOND;

    private static final long QUOTA_SETTLE_INTERVAL_MICROS = SECOND / 4;
    private static final double LOST_RESPONSE_SHARE = 0.1;
    private static final long RUN_TIMEOUT_SECONDS = 600;

    private final SoakOptions options;
    private final Path directory;
    private final int firstPort;
    private final Reactor reactor;
    private final Random random;
    /** Apart from {@link #random}, so that the faults of a seed do not depend on the number of starts. */
    private final Random settingsRandom;

    private final ClusterInvariantChecker invariants = new ClusterInvariantChecker();
    private final ConfigurationGenerator configurations;
    private final List<SoakMachine> machines = new ArrayList<>();
    private final List<SoakMachine> proxies = new ArrayList<>();
    private final List<SoakMachine> cores = new ArrayList<>();
    private final SoakCheckerFleet checkers;
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<DepartingClient> departingClients = new ArrayList<>();
    private final List<LargeUploadClient> largeUploaders = new ArrayList<>();
    private final List<SimulatedOperator> operators = new ArrayList<>();
    private final List<InetSocketAddress> controlAddresses = new ArrayList<>();
    private final List<String> faultLog = new ArrayList<>();
    private final OperatorTraffic operatorTraffic;
    private final SoakFaults faults;
    private ClientContext context;
    private TenantTraffic tenants;
    private UploadTraffic uploads;
    private ProcessThrottle throttle;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private final String network;
    private int startedProcesses;
    private int addedCores;
    private int heldUpTimes;
    private long faultsStartedAt;

    private SoakRun(SoakOptions options, Path directory, int network) throws IOException {
        this.options = options;
        this.directory = directory;
        this.network = HOST_PREFIX + network + '.';
        random = new Random(options.seed());
        settingsRandom = new Random(~options.seed());
        configurations = new ConfigurationGenerator(new Random(options.seed() + 1));
        firstPort = findFirstPort(this.network + "0.1");
        reactor = new Reactor(new RingBufferLogger("soak", 100, System.err::println, System::nanoTime));
        checkers = new SoakCheckerFleet(
                reactor,
                random,
                invariants,
                controlAddresses,
                this.network + "3.",
                options.stress().spoiltShare(),
                options.stress().largeUploaders() > 0);
        for (int i = 0; i < 2; i++) {
            operators.add(new SimulatedOperator(
                    reactor,
                    reactor::now,
                    new Random(options.seed() + 2 + i),
                    controlAddresses,
                    invariants,
                    word -> {}));
        }
        operatorTraffic = new OperatorTraffic(reactor, random, operators, configurations);
        SoakFaults.AcknowledgedChange change = onAcknowledged -> operators
                .get(1)
                .changeConfiguration(
                        configurations.validChange(),
                        ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                        ConfigurationGenerator::visibleEffect,
                        status -> onAcknowledged.accept(status == STATUS_OK));
        faults = new SoakFaults(
                this, change, options.stress().killsAfterAcknowledgements(), reactor, random, invariants);
        configurations.setExtremeSettings(options.stress().extremeSettings());
        invariants.setDepartureLimit(DEPARTURE_LIMIT_MICROS);
        invariants.setQuota(ConfigurationGenerator.QUOTA_RATE, ConfigurationGenerator.QUOTA_BURST);
    }

    /**
     * Runs one soak and returns its result.
     *
     * @param options          the options of the soak
     * @param directory        an empty directory for settings, disks and logs
     * @param preferredNetwork the second byte of the loopback addresses, unless another soak uses them
     */
    public static SoakOutcome run(SoakOptions options, Path directory, int preferredNetwork)
            throws IOException, InterruptedException {
        try (LoopbackNetwork network = LoopbackNetwork.reserve(preferredNetwork)) {
            return run(options, directory, network);
        }
    }

    private static SoakOutcome run(SoakOptions options, Path directory, LoopbackNetwork network)
            throws IOException, InterruptedException {
        SoakRun soak = new SoakRun(options, directory, network.number());
        Thread shutdownHook = new Thread(soak::destroyAll);
        Runtime.getRuntime().addShutdownHook(shutdownHook); // so that no process outlives an aborted soak
        Thread thread = new Thread(soak::runReactor, "soak-" + options.seed());
        thread.setDaemon(true);
        soak.reactor.execute(soak::startAll);
        thread.start();
        try {
            soak.finished.get(RUN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            soak.invariants.onInvariantViolation("the soak did not finish: " + e);
        } finally {
            soak.reactor.stop();
            thread.join();
            soak.destroyAll();
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        soak.checkOutputs();
        return new SoakOutcome(
                options.seed(),
                soak.invariants.violations(),
                soak.faultLog,
                soak.invariants.requestCount(),
                soak.invariants.servedCount(),
                soak.invariants.comparedBodies(),
                soak.invariants.executionsEndedByDeparture(),
                soak.startedProcesses,
                soak.heldUpTimes,
                soak.invariants.worstQuotaShare(),
                soak.tenants == null ? 0 : soak.tenants.requestsWithinQuota(),
                soak.tenants == null ? 0 : soak.tenants.refusedWithinQuota());
    }

    private void destroyAll() {
        try {
            for (SoakMachine machine : List.copyOf(machines)) {
                machine.destroy();
            }
            if (throttle != null) {
                throttle.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runReactor() {
        try {
            reactor.run();
        } catch (IOException e) {
            finished.completeExceptionally(e);
        }
    }

    /** Finds a port that is free at one address; it becomes the start of the port range at all addresses. */
    private static int findFirstPort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(ip, 0));
            return Math.min(MAX_FIRST_PORT, probe.getLocalPort());
        }
    }

    static String serviceOf(int number) {
        return ConfigurationGenerator.SERVICES.get(number % ConfigurationGenerator.SERVICES.size());
    }

    static String zoneOf(int number) {
        return ZONES[number % ZONES.length];
    }

    // ---- The fleet ---------------------------------------------------------------------------------

    @Override
    public Reactor reactor() {
        return reactor;
    }

    @Override
    public int firstPort() {
        return firstPort;
    }

    @Override
    public Path directory() {
        return directory;
    }

    @Override
    public List<String> seeds() {
        return cores.stream().limit(SEEDS).map(SoakMachine::ip).toList();
    }

    @Override
    public Random settingsRandom() {
        return settingsRandom;
    }

    @Override
    public void onViolation(String violation) {
        invariants.onInvariantViolation(violation);
    }

    @Override
    public void onStarted() {
        startedProcesses++;
    }

    @Override
    public void onMachineFault(SoakMachine machine, long from, long until) {
        invariants.addMachineFault(machine.name(), from, until);
    }

    private void onStalled(SoakMachine proxy, long from, long until) {
        heldUpTimes++;
        proxy.noteStall(until);
        invariants.addMachineFault(proxy.name(), from, until);
    }

    /** Returns a live list of the proxies. */
    List<SoakMachine> proxies() {
        return proxies;
    }

    /** Returns a live list of the core machines. */
    List<SoakMachine> cores() {
        return cores;
    }

    private SoakMachine newMachine(String name, String ip, int index, List<String> programs, boolean coldStart) {
        SoakMachine machine = new SoakMachine(this, name, ip, zoneOf(index), programs, coldStart);
        machines.add(machine);
        return machine;
    }

    /** Starts an additional core machine with a new name, a new address and an empty disk. */
    void addCore() {
        int number = options.cores() + addedCores++;
        SoakMachine core = newMachine(
                "core-" + number, network + "1." + (number + 1), number, List.of("store", "registry"), false);
        cores.add(core);
        core.start();
        // operators and checkers learn the address only later
        reactor.scheduleAfter(SECOND, () -> controlAddresses.add(core.address(SoakMachine.CONTROL_PORT_OFFSET)));
    }

    /** Stops a core machine permanently. */
    void removeCore(SoakMachine core, boolean planned) {
        cores.remove(core);
        core.remove(planned);
        reactor.scheduleAfter(SECOND, () -> controlAddresses.remove(core.address(SoakMachine.CONTROL_PORT_OFFSET)));
    }

    SoakCheckerFleet checkers() {
        return checkers;
    }

    /** Adds a line to the list of faults that is printed with violations. */
    void logFault(String description) {
        faultLog.add(String.format("%.3f %s", (reactor.now() - faultsStartedAt) / 1e6, description));
    }

    // ---- Phases ------------------------------------------------------------------------------------

    private void startAll() {
        for (int i = 0; i < options.cores(); i++) {
            cores.add(newMachine("core-" + i, network + "1." + (i + 1), i, List.of("store", "registry"), true));
        }
        for (int i = 0; i < options.proxies(); i++) {
            proxies.add(newMachine("edge-" + i, network + "2." + (i + 1), i, List.of("proxy"), true));
        }
        cores.forEach(core -> controlAddresses.add(core.address(SoakMachine.CONTROL_PORT_OFFSET)));
        machines.forEach(SoakMachine::start);
        for (int i = 0; i < options.checkers(); i++) {
            checkers.start();
        }
        long startedAt = reactor.now();
        invariants.addCoreFault(
                startedAt, startedAt + START_TIMEOUT_MICROS, true); // delays during startup are not faults
        sendChangeUntilAcknowledged(
                configurations.initialChange(),
                startedAt + START_TIMEOUT_MICROS,
                "the start",
                () -> createTenants(startedAt + START_TIMEOUT_MICROS));
    }

    private void createTenants(long deadline) {
        context = new ClientContext(reactor, random, invariants, configurations::planRequest, proxies);
        tenants = new TenantTraffic(
                context, operators.get(0), configurations, this::logFault, options.tenants(), options.rate());
        sendChangeUntilAcknowledged(
                tenants.initialChange(),
                deadline,
                "the start",
                () -> awaitReady(deadline, "the start", this::beginTraffic));
    }

    /** Sends a change repeatedly until it is acknowledged or the deadline has passed. */
    private void sendChangeUntilAcknowledged(String body, long deadline, String phase, Runnable onAcknowledged) {
        operators
                .get(0)
                .changeConfiguration(
                        body,
                        ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                        ConfigurationGenerator::visibleEffect,
                        status -> {
                            if (status == STATUS_OK) {
                                onAcknowledged.run();
                            } else if (reactor.now() > deadline) {
                                fail("after " + phase + " no change was acknowledged");
                            } else {
                                sendChangeUntilAcknowledged(body, deadline, phase, onAcknowledged);
                            }
                        });
    }

    /** Polls until all proxies are ready, and fails the soak if they are not at the deadline. */
    private void awaitReady(long deadline, String phase, Runnable onReady) {
        int[] pending = {proxies.size()};
        int[] ready = {0};
        for (SoakMachine proxy : proxies) {
            probeReadiness(proxy, isReady -> {
                ready[0] += isReady ? 1 : 0;
                if (--pending[0] > 0) {
                    return;
                }
                if (ready[0] == proxies.size()) {
                    onReady.run();
                } else if (reactor.now() > deadline) {
                    fail("after " + phase + " only " + ready[0] + " of " + proxies.size() + " proxies were ready");
                } else {
                    reactor.scheduleAfter(POLL_MICROS, () -> awaitReady(deadline, phase, onReady));
                }
            });
        }
    }

    private void probeReadiness(SoakMachine proxy, Consumer<Boolean> callback) {
        try {
            new OneShotHttpCall(
                    reactor,
                    proxy.address(SoakMachine.READINESS_PORT_OFFSET),
                    OneShotHttpCall.request("GET", "/v1/readiness", "ready", ""),
                    SECOND,
                    (status, head, text) -> callback.accept(status == STATUS_OK));
        } catch (IOException e) {
            callback.accept(false);
        }
    }

    private void fail(String reason) {
        onViolation(reason);
        finished.complete(null);
    }

    private void beginTraffic() {
        faultsStartedAt = reactor.now();
        operators.forEach(operator -> operator.loseResponses(LOST_RESPONSE_SHARE, SECOND / 2));
        for (int i = 0; i < options.clients(); i++) {
            SoakClient client =
                    new SoakClient(context, "q" + i, options.stress().extremeSettings());
            clients.add(client);
            client.start();
        }
        for (int i = 0; i < options.leaving(); i++) {
            DepartingClient client = new DepartingClient(context, "d" + i);
            departingClients.add(client);
            client.start();
        }
        startThrottle();
        uploads = new UploadTraffic(context, options.stress().uploadsPerSecond());
        uploads.start();
        Random bodies = new Random(options.seed());
        for (int i = 0; i < options.stress().largeUploaders(); i++) {
            largeUploaders.add(new LargeUploadClient(context, bodies, "l" + i));
        }
        largeUploaders.forEach(LargeUploadClient::start);
        operatorTraffic.start();
        tenants.start();
        reactor.scheduleEvery(QUOTA_SETTLE_INTERVAL_MICROS, this::settleQuotas);
        new ResponsivenessMonitor(reactor, () -> proxies, this::onStalled).start();
        long end = faultsStartedAt + options.seconds() * SECOND;
        faults.start(end);
        reactor.scheduleAt(end, this::endFaultsAndAwaitRecovery);
    }

    private void startThrottle() {
        if (options.throttle() > 0) {
            try {
                throttle = new ProcessThrottle(reactor, random, () -> proxies, options.throttle());
                throttle.start();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private void endThrottle() {
        if (throttle != null) {
            throttle.stop();
        }
    }

    private void settleQuotas() {
        invariants.settleQuotas(proxies.stream().map(SoakMachine::name).toList(), reactor.now());
    }

    /** Ends the faults. Once those in progress are over, the gateway must recover within the timeout. */
    private void endFaultsAndAwaitRecovery() {
        checkers.stopSpoiling();
        operatorTraffic.stop();
        tenants.endFaults();
        endThrottle();
        long calmAt = Math.max(reactor.now() + SoakMachine.GRACE_MICROS, faults.coreRecoveredAt());
        reactor.scheduleAt(calmAt, () -> {
            operators.forEach(operator -> operator.loseResponses(0, 0));
            long deadline = reactor.now() + RECOVERY_TIMEOUT_MICROS;
            awaitReady(
                    deadline,
                    "the faults",
                    () -> sendChangeUntilAcknowledged(
                            configurations.validChange(), deadline, "the faults", this::readBack));
        });
    }

    private void readBack() {
        operators.get(0).readUntil(reactor.now() + FINAL_READ_MICROS, (text, sentAt) -> {
            invariants.checkFinalRead(text, "CONFIG", sentAt);
            terminateAll();
        });
    }

    /** Sends SIGTERM to all proxies under load; they must exit within their grace period. */
    private void terminateAll() {
        uploads.stop();
        logFault("all proxies receive SIGTERM");
        proxies.forEach(proxy -> proxy.remove(true));
        reactor.scheduleAfter(SoakMachine.GRACE_MICROS + 2 * SECOND, () -> {
            clients.forEach(SoakClient::stop);
            departingClients.forEach(DepartingClient::stop);
            largeUploaders.forEach(LargeUploadClient::stop);
            tenants.stop();
            invariants.checkQuotas();
            invariants.checkDepartures(reactor.now());
            finished.complete(null);
        });
    }

    // ---- Outputs -----------------------------------------------------------------------------------

    /** Reports violated invariants and unexpected errors that the programs have logged, at most three per program. */
    private void checkOutputs() throws IOException {
        for (SoakMachine machine : machines) {
            ProgramOutputs.failures(machine).forEach(invariants::onInvariantViolation);
        }
    }
}
