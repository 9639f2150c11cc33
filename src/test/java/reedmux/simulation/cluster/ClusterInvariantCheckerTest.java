package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.control.configuration.ConfigurationItem;

/** Tests each rule with a history that violates it and a similar history that complies with it. */
public class ClusterInvariantCheckerTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final String ROUTE = "routes/r";
    private static final String PLANT = "{\"probe\":\"/\",\"connCeiling\":9,\"protocol\":\"h1\",\"tls\":false}";
    private ClusterInvariantChecker checker;

    @BeforeMethod
    public void setUp() {
        checker = new ClusterInvariantChecker();
        recordVersionSent(1, "desk", 0);
        checker.onChangeAcknowledged(List.of(item(1, "desk")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, 0, 0);
    }

    private static ConfigurationItem item(long revision, String service) {
        return new ConfigurationItem(
                "routes",
                "r",
                revision,
                service.equals(ClusterInvariantChecker.NO_EFFECT)
                        ? ""
                        : "{\"host\":\"h\",\"prefix\":\"/r/\",\"kind\":\"effectful\",\"plant\":\"" + service + "\"}");
    }

    private void recordVersionSent(long revision, String service, long timeMicros) {
        checker.onVersionSent(item(revision, service), service, timeMicros);
    }

    private void assertViolates(String rule) {
        assertEquals(checker.violations().size(), 1, checker.violations().toString());
        assertTrue(
                checker.violations().get(0).startsWith(rule),
                checker.violations().toString());
    }

    private void assertNoViolations() {
        assertEquals(checker.violations(), List.of());
    }

    private void recordRequestSent(String id, boolean repeatable) {
        checker.onRequestSent(id, "edge", repeatable, "t", "desk", ROUTE, SECOND_MICROS);
    }

    @Test
    public void effectfulRequestExecutedTwice() {
        recordRequestSent("a", true);
        checker.onRequestExecuted("a", "c1", "desk", "t", SECOND_MICROS);
        checker.onRequestExecuted("a", "c2", "desk", "t", SECOND_MICROS);
        assertNoViolations();
        recordRequestSent("b", false);
        checker.onRequestExecuted("b", "c1", "desk", "t", SECOND_MICROS);
        checker.onRequestExecuted("b", "c2", "desk", "t", SECOND_MICROS);
        assertViolates("TWICE");
    }

    @Test
    public void requestRejectedAfterExecution() {
        recordRequestSent("a", false);
        checker.onResponse("a", 503, null, SECOND_MICROS);
        assertNoViolations();
        checker.onRequestExecuted("a", "c1", "desk", "t", 2 * SECOND_MICROS);
        assertViolates("REFUSED");
    }

    @Test
    public void responseFromCheckerThatDidNotExecute() {
        recordRequestSent("a", false);
        checker.onRequestExecuted("a", "c1", "desk", "t", SECOND_MICROS);
        checker.onResponse("a", 200, "c1", SECOND_MICROS);
        assertNoViolations();
        recordRequestSent("b", false);
        checker.onResponse("b", 200, "c1", SECOND_MICROS);
        assertViolates("MIXED");
    }

    @Test
    public void executionOfUnknownRequest() {
        checker.onRequestExecuted("nobody", "c1", "desk", "t", SECOND_MICROS);
        assertViolates("UNASKED");
    }

    @Test
    public void executionForWrongTenant() {
        recordRequestSent("a", false);
        checker.onRequestExecuted("a", "c1", "desk", "another", SECOND_MICROS);
        assertViolates("UNASKED");
    }

    @Test
    public void executionByUnroutedService() {
        recordRequestSent("a", false);
        checker.onRequestExecuted("a", "c1", "intake", "t", SECOND_MICROS);
        assertViolates("ROUTE");
    }

    @Test
    public void executionAfterDrainGracePeriod() {
        checker.onDrainAcknowledged("c1", "core", SECOND_MICROS);
        recordRequestSent("a", true);
        checker.onRequestExecuted("a", "c1", "desk", "t", 3 * SECOND_MICROS);
        assertNoViolations();
        checker.onRequestExecuted("a", "c1", "desk", "t", 3 * SECOND_MICROS + 1);
        assertViolates("DRAIN");
    }

    @Test
    public void oldVersionInForceAfterPropagationLimit() {
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                SECOND_MICROS,
                SECOND_MICROS);
        checker.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 3 * SECOND_MICROS, 3 * SECOND_MICROS);
        assertNoViolations();
        checker.onEffectObserved(
                "edge", "edge#1", ROUTE, "desk", "desk"::equals, 3 * SECOND_MICROS + 1, 4 * SECOND_MICROS);
        assertViolates("CONFIG");
    }

    @Test
    public void machineWithRecentFaultIsExempt() {
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                SECOND_MICROS,
                SECOND_MICROS);
        checker.addMachineFault("edge", 2 * SECOND_MICROS, 3 * SECOND_MICROS);
        checker.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 5 * SECOND_MICROS, 5 * SECOND_MICROS);
        assertNoViolations();
    }

    @Test
    public void processRevertsToOlderVersion() {
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onEffectObserved("edge", "edge#1", ROUTE, "intake", "intake"::equals, SECOND_MICROS, SECOND_MICROS);
        checker.onEffectObserved("edge", "edge#2", ROUTE, "desk", "desk"::equals, 2 * SECOND_MICROS, 2 * SECOND_MICROS);
        assertNoViolations();
        checker.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 2 * SECOND_MICROS, 2 * SECOND_MICROS);
        assertViolates("CONFIG");
    }

    @Test
    public void invalidChangeAcknowledged() {
        recordVersionSent(2, "nobody", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "nobody")),
                ClusterInvariantChecker.ExpectedDecision.REJECT,
                SECOND_MICROS,
                SECOND_MICROS);
        assertViolates("CONFIG");
    }

    @Test
    public void acknowledgedItemMissingFromFinalRead() {
        checker.checkFinalRead("{\"signals\":[]}", "LOST", SECOND_MICROS);
        assertViolates("LOST");
    }

    @Test
    public void finalReadWithoutResponse() {
        checker.checkFinalRead(null, "LOST", SECOND_MICROS);
        assertViolates("LOST");
    }

    @Test
    public void validChangeNotAcknowledgedInTime() {
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onChangeRejected(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                false,
                SECOND_MICROS,
                4 * SECOND_MICROS);
        assertNoViolations();
        checker.onChangeRejected(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                false,
                SECOND_MICROS,
                5 * SECOND_MICROS);
        assertViolates("ACKS");
    }

    @Test
    public void drainingProxyAbortsRequest() {
        recordRequestSent("a", false);
        checker.onConnectionLost("a", true, false, SECOND_MICROS);
        assertNoViolations();
        checker.onConnectionLost("a", true, true, SECOND_MICROS);
        assertViolates("LOST");
    }

    @Test
    public void quotaExceeded() {
        checker.setQuota(10, 10);
        for (int i = 0; i < 86; i++) { // (10 * 5 + 10) * 1.1 + 20
            recordRequestSent("a" + i, true);
            checker.onRequestExecuted("a" + i, "c1", "desk", "t", SECOND_MICROS);
        }
        checker.checkWindows();
        assertNoViolations();
        recordRequestSent("b", true);
        checker.onRequestExecuted("b", "c1", "desk", "t", SECOND_MICROS);
        checker.checkWindows();
        assertViolates("QUOTA");
    }

    @Test
    public void retryBudgetExceeded() {
        for (int i = 0; i < 70; i++) {
            recordRequestSent("a" + i, true);
            checker.onRequestArrived("a" + i, "desk", SECOND_MICROS);
            checker.onRequestArrived("a" + i, "desk", SECOND_MICROS);
        }
        checker.checkWindows();
        assertNoViolations(); // 70 of 0.2 * 70 + 56
        recordRequestSent("b", true);
        checker.onRequestArrived("b", "desk", SECOND_MICROS);
        checker.onRequestArrived("b", "desk", SECOND_MICROS);
        checker.checkWindows();
        assertViolates("BUDGET");
    }

    @Test
    public void throughputDoesNotRecover() {
        checker.checkRecovery(100, 25);
        assertNoViolations();
        checker.checkRecovery(100, 24);
        assertViolates("RECOVER");
    }

    private void recordRejection(long revision, String service, ClusterInvariantChecker.ExpectedDecision expected) {
        checker.onChangeRejected(List.of(item(revision, service)), expected, true, SECOND_MICROS, SECOND_MICROS);
    }

    @Test
    public void acknowledgedChangeRejectedWhenResent() {
        recordVersionSent(2, "intake", SECOND_MICROS);
        recordRejection(2, "intake", ClusterInvariantChecker.ExpectedDecision.EITHER);
        assertNoViolations();
        recordRejection(1, "desk", ClusterInvariantChecker.ExpectedDecision.EITHER);
        assertViolates("CONFIG");
    }

    @Test
    public void validChangeRejected() {
        checker.addCoreFault(0, SECOND_MICROS, false);
        recordVersionSent(2, "intake", SECOND_MICROS);
        recordRejection(2, "intake", ClusterInvariantChecker.ExpectedDecision.REJECT);
        assertNoViolations();
        recordVersionSent(3, "intake", SECOND_MICROS);
        recordRejection(3, "intake", ClusterInvariantChecker.ExpectedDecision.ACCEPT);
        assertViolates("DUTY");
    }

    @Test
    public void twoContentsAcknowledgedUnderOneRevision() {
        recordVersionSent(2, "desk", SECOND_MICROS);
        recordVersionSent(2, "intake", SECOND_MICROS);
        recordVersionSent(3, "desk", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.EITHER,
                SECOND_MICROS,
                SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.EITHER,
                SECOND_MICROS,
                SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(3, "desk")),
                ClusterInvariantChecker.ExpectedDecision.EITHER,
                SECOND_MICROS,
                SECOND_MICROS);
        assertNoViolations();
        checker.onChangeAcknowledged(
                List.of(item(2, "desk")),
                ClusterInvariantChecker.ExpectedDecision.EITHER,
                SECOND_MICROS,
                SECOND_MICROS);
        assertViolates("CONFIG");
    }

    @Test
    public void contentInForceUnderRevisionOfAnotherContent() {
        recordVersionSent(2, "desk", SECOND_MICROS);
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onEffectObserved("edge", "edge#1", ROUTE, "intake", "intake"::equals, SECOND_MICROS, SECOND_MICROS);
        assertNoViolations();
        checker.onChangeAcknowledged(
                List.of(item(2, "desk")),
                ClusterInvariantChecker.ExpectedDecision.EITHER,
                SECOND_MICROS,
                SECOND_MICROS);
        checker.onEffectObserved("edge", "edge#2", ROUTE, "intake", "intake"::equals, SECOND_MICROS, SECOND_MICROS);
        assertViolates("CONFIG");
    }

    private static String readResponse(long revision, String service) {
        return "{\"signals\":[{\"signalKind\":\"plants\",\"heading\":{\"name\":\"" + service
                + "\",\"revision\":1},\"reference\":" + PLANT + "},{\"signalKind\":\"routes\","
                + "\"heading\":{\"name\":\"r\",\"revision\":" + revision + "},\"reference\":"
                + item(revision, service).body() + "}]}";
    }

    @Test
    public void staleReadAfterAcknowledgement() {
        for (String service : List.of("desk", "intake")) {
            checker.onVersionSent(new ConfigurationItem("plants", service, 1, PLANT), "", 0);
        }
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                SECOND_MICROS,
                2 * SECOND_MICROS);
        checker.checkRead(readResponse(2, "intake"), 3 * SECOND_MICROS);
        checker.checkRead(readResponse(1, "desk"), 2 * SECOND_MICROS - 1);
        assertNoViolations();
        checker.checkRead(readResponse(1, "desk"), 2 * SECOND_MICROS);
        assertViolates("CONFIG");
    }

    @Test
    public void acknowledgementLateWhileCoreIsSettled() {
        checker.addCoreFault(2 * SECOND_MICROS, 3 * SECOND_MICROS, false); // settled again at 6 s
        recordVersionSent(2, "intake", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(2, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                SECOND_MICROS,
                10 * SECOND_MICROS - 1);
        assertNoViolations();
        recordVersionSent(3, "intake", SECOND_MICROS);
        checker.onChangeAcknowledged(
                List.of(item(3, "intake")),
                ClusterInvariantChecker.ExpectedDecision.ACCEPT,
                SECOND_MICROS,
                10 * SECOND_MICROS);
        assertViolates("ACKS");
    }

    @Test
    public void proxyReadyWhileInMinority() {
        checker.addMinoritySpan("edge", 2 * SECOND_MICROS, 22 * SECOND_MICROS);
        checker.onReady("edge", SECOND_MICROS, 5 * SECOND_MICROS); // it started before the minority span
        checker.onReady("edge", 3 * SECOND_MICROS, 22 * SECOND_MICROS + 1);
        checker.onReady("another", 3 * SECOND_MICROS, 5 * SECOND_MICROS);
        assertNoViolations();
        checker.onReady("edge", 3 * SECOND_MICROS, 22 * SECOND_MICROS);
        assertViolates("CONTACT");
    }

    @Test
    public void tooManyUnacknowledgedDrains() {
        for (int i = 0; i < 12; i++) {
            checker.onDrainAcknowledged("c" + i, "core", SECOND_MICROS);
        }
        for (int i = 0; i < 3; i++) { // one fifth of the 15 drains
            checker.onDrainUnacknowledged(SECOND_MICROS, 6 * SECOND_MICROS);
        }
        checker.checkWindows();
        assertNoViolations();
        checker.onDrainUnacknowledged(SECOND_MICROS, 6 * SECOND_MICROS);
        checker.checkWindows();
        assertViolates("ACKS");
    }

    @Test
    public void processExitsUnexpectedly() {
        checker.onUnexpectedExit("core/store");
        assertViolates("FAULT");
    }

    @Test
    public void executionAfterDrainDuringCoreFault() {
        checker.onDrainAcknowledged("c1", "core", SECOND_MICROS);
        checker.addCoreFault(SECOND_MICROS, 21 * SECOND_MICROS, false);
        recordRequestSent("a", true);
        checker.onRequestExecuted("a", "c1", "desk", "t", 4 * SECOND_MICROS); // the core has not settled yet
        assertNoViolations();
        checker.onRequestExecuted("a", "c1", "desk", "t", 4 * SECOND_MICROS + 1);
        assertViolates("DRAIN");
    }

    @Test
    public void drainAcknowledgedByFaultyMachineIsExempt() {
        checker.addMachineFault("core", 0, 2 * SECOND_MICROS);
        checker.onDrainAcknowledged("c1", "core", SECOND_MICROS);
        recordRequestSent("a", true);
        checker.onRequestExecuted("a", "c1", "desk", "t", 9 * SECOND_MICROS);
        assertNoViolations();
    }
}
