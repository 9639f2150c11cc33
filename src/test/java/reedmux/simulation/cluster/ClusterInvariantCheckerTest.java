package reedmux.simulation.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.control.configuration.ConfigurationItem;

/** Histories that break one rule each, and beside each its neighbour that does not. */
public class ClusterInvariantCheckerTest {
    private static final long SECOND = 1_000_000;
    private static final String ROUTE = "routes/r";
    private static final String PLANT = "{\"probe\":\"/\",\"connCeiling\":9,\"protocol\":\"h1\",\"tls\":false}";
    private ClusterInvariantChecker watch;

    @BeforeMethod
    public void begin() {
        watch = new ClusterInvariantChecker();
        version(1, "desk", 0);
        watch.onChangeAcknowledged(List.of(item(1, "desk")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, 0, 0);
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

    private void version(long revision, String service, long at) {
        watch.onVersionSent(item(revision, service), service, at);
    }

    private void breaks(String rule) {
        assertEquals(watch.violations().size(), 1, watch.violations().toString());
        assertTrue(
                watch.violations().get(0).startsWith(rule), watch.violations().toString());
    }

    private void keeps() {
        assertEquals(watch.violations(), List.of());
    }

    private void sent(String id, boolean repeatable) {
        watch.onRequestSent(id, "edge", repeatable, "t", "desk", ROUTE, SECOND);
    }

    @Test
    public void twice() {
        sent("a", true);
        watch.onRequestExecuted("a", "c1", "desk", "t", SECOND);
        watch.onRequestExecuted("a", "c2", "desk", "t", SECOND);
        keeps();
        sent("b", false);
        watch.onRequestExecuted("b", "c1", "desk", "t", SECOND);
        watch.onRequestExecuted("b", "c2", "desk", "t", SECOND);
        breaks("TWICE");
    }

    @Test
    public void refusedAfterItHasRun() {
        sent("a", false);
        watch.onResponse("a", 503, null, SECOND);
        keeps();
        watch.onRequestExecuted("a", "c1", "desk", "t", 2 * SECOND);
        breaks("REFUSED");
    }

    @Test
    public void mixed() {
        sent("a", false);
        watch.onRequestExecuted("a", "c1", "desk", "t", SECOND);
        watch.onResponse("a", 200, "c1", SECOND);
        keeps();
        sent("b", false);
        watch.onResponse("b", 200, "c1", SECOND);
        breaks("MIXED");
    }

    @Test
    public void unasked() {
        watch.onRequestExecuted("nobody", "c1", "desk", "t", SECOND);
        breaks("UNASKED");
    }

    @Test
    public void anothersTenant() {
        sent("a", false);
        watch.onRequestExecuted("a", "c1", "desk", "another", SECOND);
        breaks("UNASKED");
    }

    @Test
    public void aServiceThatNoVersionNames() {
        sent("a", false);
        watch.onRequestExecuted("a", "c1", "intake", "t", SECOND);
        breaks("ROUTE");
    }

    @Test
    public void aDrainThatIsNotKept() {
        watch.onDrainAcknowledged("c1", "core", SECOND);
        sent("a", true);
        watch.onRequestExecuted("a", "c1", "desk", "t", 3 * SECOND);
        keeps();
        watch.onRequestExecuted("a", "c1", "desk", "t", 3 * SECOND + 1);
        breaks("DRAIN");
    }

    @Test
    public void anOldVersionLongAfterANewOne() {
        version(2, "intake", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, SECOND, SECOND);
        watch.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 3 * SECOND, 3 * SECOND);
        keeps();
        watch.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 3 * SECOND + 1, 4 * SECOND);
        breaks("CONFIG");
    }

    @Test
    public void whoIsInTroubleIsNotJudged() {
        version(2, "intake", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, SECOND, SECOND);
        watch.addMachineFault("edge", 2 * SECOND, 3 * SECOND);
        watch.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 5 * SECOND, 5 * SECOND);
        keeps();
    }

    @Test
    public void goingBack() {
        version(2, "intake", SECOND);
        watch.onEffectObserved("edge", "edge#1", ROUTE, "intake", "intake"::equals, SECOND, SECOND);
        watch.onEffectObserved("edge", "edge#2", ROUTE, "desk", "desk"::equals, 2 * SECOND, 2 * SECOND);
        keeps();
        watch.onEffectObserved("edge", "edge#1", ROUTE, "desk", "desk"::equals, 2 * SECOND, 2 * SECOND);
        breaks("CONFIG");
    }

    @Test
    public void anInvalidCallThatIsAcknowledged() {
        version(2, "nobody", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "nobody")), ClusterInvariantChecker.ExpectedDecision.REJECT, SECOND, SECOND);
        breaks("CONFIG");
    }

    @Test
    public void anAcknowledgedItemThatIsGone() {
        watch.checkFinalRead("{\"signals\":[]}", "LOST", SECOND);
        breaks("LOST");
    }

    @Test
    public void noAnswerAtTheEnd() {
        watch.checkFinalRead(null, "LOST", SECOND);
        breaks("LOST");
    }

    @Test
    public void aValidChangeWithoutAcknowledgement() {
        version(2, "intake", SECOND);
        watch.onChangeRejected(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, false, SECOND, 4 * SECOND);
        keeps();
        watch.onChangeRejected(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, false, SECOND, 5 * SECOND);
        breaks("ACKS");
    }

    @Test
    public void aRequestThatIsBrokenOffByWhoLeaves() {
        sent("a", false);
        watch.onConnectionLost("a", true, false, SECOND);
        keeps();
        watch.onConnectionLost("a", true, true, SECOND);
        breaks("LOST");
    }

    @Test
    public void moreThanAQuota() {
        watch.setQuota(10, 10);
        for (int i = 0; i < 86; i++) { // (10 * 5 + 10) * 1.1 + 20
            sent("a" + i, true);
            watch.onRequestExecuted("a" + i, "c1", "desk", "t", SECOND);
        }
        watch.checkWindows();
        keeps();
        sent("b", true);
        watch.onRequestExecuted("b", "c1", "desk", "t", SECOND);
        watch.checkWindows();
        breaks("QUOTA");
    }

    @Test
    public void moreThanTheBudget() {
        for (int i = 0; i < 70; i++) {
            sent("a" + i, true);
            watch.onRequestArrived("a" + i, "desk", SECOND);
            watch.onRequestArrived("a" + i, "desk", SECOND);
        }
        watch.checkWindows();
        keeps(); // 70 of 0.2 * 70 + 56
        sent("b", true);
        watch.onRequestArrived("b", "desk", SECOND);
        watch.onRequestArrived("b", "desk", SECOND);
        watch.checkWindows();
        breaks("BUDGET");
    }

    @Test
    public void noRecovery() {
        watch.checkRecovery(100, 25);
        keeps();
        watch.checkRecovery(100, 24);
        breaks("RECOVER");
    }

    private void refused(long revision, String service, ClusterInvariantChecker.ExpectedDecision proper) {
        watch.onChangeRejected(List.of(item(revision, service)), proper, true, SECOND, SECOND);
    }

    @Test
    public void anAcknowledgedChangeThatIsRefusedWhenItIsSentAgain() {
        version(2, "intake", SECOND);
        refused(2, "intake", ClusterInvariantChecker.ExpectedDecision.EITHER);
        keeps();
        refused(1, "desk", ClusterInvariantChecker.ExpectedDecision.EITHER);
        breaks("CONFIG");
    }

    @Test
    public void aValidChangeThatIsRefused() {
        watch.addCoreFault(0, SECOND, false);
        version(2, "intake", SECOND);
        refused(2, "intake", ClusterInvariantChecker.ExpectedDecision.REJECT);
        keeps();
        version(3, "intake", SECOND);
        refused(3, "intake", ClusterInvariantChecker.ExpectedDecision.ACCEPT);
        breaks("DUTY");
    }

    @Test
    public void twoContentsUnderOneNumber() {
        version(2, "desk", SECOND);
        version(2, "intake", SECOND);
        version(3, "desk", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.EITHER, SECOND, SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.EITHER, SECOND, SECOND);
        watch.onChangeAcknowledged(
                List.of(item(3, "desk")), ClusterInvariantChecker.ExpectedDecision.EITHER, SECOND, SECOND);
        keeps();
        watch.onChangeAcknowledged(
                List.of(item(2, "desk")), ClusterInvariantChecker.ExpectedDecision.EITHER, SECOND, SECOND);
        breaks("CONFIG");
    }

    @Test
    public void whatIsInForceUnderANumberThatAnotherHas() {
        version(2, "desk", SECOND);
        version(2, "intake", SECOND);
        watch.onEffectObserved("edge", "edge#1", ROUTE, "intake", "intake"::equals, SECOND, SECOND);
        keeps();
        watch.onChangeAcknowledged(
                List.of(item(2, "desk")), ClusterInvariantChecker.ExpectedDecision.EITHER, SECOND, SECOND);
        watch.onEffectObserved("edge", "edge#2", ROUTE, "intake", "intake"::equals, SECOND, SECOND);
        breaks("CONFIG");
    }

    private static String read(long revision, String service) {
        return "{\"signals\":[{\"signalKind\":\"plants\",\"heading\":{\"name\":\"" + service
                + "\",\"revision\":1},\"reference\":" + PLANT + "},{\"signalKind\":\"routes\","
                + "\"heading\":{\"name\":\"r\",\"revision\":" + revision + "},\"reference\":"
                + item(revision, service).body() + "}]}";
    }

    @Test
    public void anOldReadAfterAnAcknowledgement() {
        for (String service : List.of("desk", "intake")) {
            watch.onVersionSent(new ConfigurationItem("plants", service, 1, PLANT), "", 0);
        }
        version(2, "intake", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, SECOND, 2 * SECOND);
        watch.checkRead(read(2, "intake"), 3 * SECOND);
        watch.checkRead(read(1, "desk"), 2 * SECOND - 1);
        keeps();
        watch.checkRead(read(1, "desk"), 2 * SECOND);
        breaks("CONFIG");
    }

    @Test
    public void aChangeThatWaitsInASettledStretch() {
        watch.addCoreFault(2 * SECOND, 3 * SECOND, false); // settled again at 6
        version(2, "intake", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(2, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, SECOND, 10 * SECOND - 1);
        keeps();
        version(3, "intake", SECOND);
        watch.onChangeAcknowledged(
                List.of(item(3, "intake")), ClusterInvariantChecker.ExpectedDecision.ACCEPT, SECOND, 10 * SECOND);
        breaks("ACKS");
    }

    @Test
    public void aStartThatIsReadyOnAMinoritysWord() {
        watch.addMinoritySpan("edge", 2 * SECOND, 22 * SECOND);
        watch.onReady("edge", SECOND, 5 * SECOND); // it began before
        watch.onReady("edge", 3 * SECOND, 22 * SECOND + 1);
        watch.onReady("another", 3 * SECOND, 5 * SECOND);
        keeps();
        watch.onReady("edge", 3 * SECOND, 22 * SECOND);
        breaks("CONTACT");
    }

    @Test
    public void checkersThatNobodyHears() {
        for (int i = 0; i < 12; i++) {
            watch.onDrainAcknowledged("c" + i, "core", SECOND);
        }
        for (int i = 0; i < 3; i++) { // a fifth of fifteen
            watch.onDrainUnacknowledged(SECOND, 6 * SECOND);
        }
        watch.checkWindows();
        keeps();
        watch.onDrainUnacknowledged(SECOND, 6 * SECOND);
        watch.checkWindows();
        breaks("ACKS");
    }

    @Test
    public void aProcessThatEndsByItself() {
        watch.onUnexpectedExit("core/store");
        breaks("FAULT");
    }

    @Test
    public void aDrainThatIsNotKeptInTheMidstOfACut() {
        watch.onDrainAcknowledged("c1", "core", SECOND);
        watch.addCoreFault(SECOND, 21 * SECOND, false);
        sent("a", true);
        watch.onRequestExecuted("a", "c1", "desk", "t", 4 * SECOND); // the core is not settled yet
        keeps();
        watch.onRequestExecuted("a", "c1", "desk", "t", 4 * SECOND + 1);
        breaks("DRAIN");
    }

    @Test
    public void aDrainThatSomebodyOutOfTouchHasAcknowledged() {
        watch.addMachineFault("core", 0, 2 * SECOND);
        watch.onDrainAcknowledged("c1", "core", SECOND);
        sent("a", true);
        watch.onRequestExecuted("a", "c1", "desk", "t", 9 * SECOND);
        keeps();
    }
}
