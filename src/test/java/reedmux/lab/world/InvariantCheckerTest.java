package reedmux.lab.world;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reedmux.item.Item;

/** Histories that break one rule each, and beside each its neighbour that does not. */
public class InvariantCheckerTest {
    private static final long SECOND = 1_000_000;
    private static final String ROUTE = "routes/r";
    private static final String PLANT = "{\"probe\":\"/\",\"connCeiling\":9,\"protocol\":\"h1\",\"tls\":false}";
    private InvariantChecker watch;

    @BeforeMethod
    public void begin() {
        watch = new InvariantChecker();
        version(1, "desk", 0);
        watch.acked(List.of(item(1, "desk")), InvariantChecker.Proper.VALID, 0, 0);
    }

    private static Item item(long revision, String service) {
        return new Item(
                "routes",
                "r",
                revision,
                service.equals(InvariantChecker.NONE)
                        ? ""
                        : "{\"host\":\"h\",\"prefix\":\"/r/\",\"kind\":\"effectful\",\"plant\":\"" + service + "\"}");
    }

    private void version(long revision, String service, long at) {
        watch.sentVersion(item(revision, service), service, at);
    }

    private void breaks(String rule) {
        assertEquals(watch.broken().size(), 1, watch.broken().toString());
        assertTrue(watch.broken().get(0).startsWith(rule), watch.broken().toString());
    }

    private void keeps() {
        assertEquals(watch.broken(), List.of());
    }

    private void sent(String id, boolean repeatable) {
        watch.sent(id, "edge", repeatable, "t", "desk", ROUTE, SECOND);
    }

    @Test
    public void twice() {
        sent("a", true);
        watch.ran("a", "c1", "desk", "t", SECOND);
        watch.ran("a", "c2", "desk", "t", SECOND);
        keeps();
        sent("b", false);
        watch.ran("b", "c1", "desk", "t", SECOND);
        watch.ran("b", "c2", "desk", "t", SECOND);
        breaks("TWICE");
    }

    @Test
    public void refusedAfterItHasRun() {
        sent("a", false);
        watch.answered("a", 503, null, SECOND);
        keeps();
        watch.ran("a", "c1", "desk", "t", 2 * SECOND);
        breaks("REFUSED");
    }

    @Test
    public void mixed() {
        sent("a", false);
        watch.ran("a", "c1", "desk", "t", SECOND);
        watch.answered("a", 200, "c1", SECOND);
        keeps();
        sent("b", false);
        watch.answered("b", 200, "c1", SECOND);
        breaks("MIXED");
    }

    @Test
    public void unasked() {
        watch.ran("nobody", "c1", "desk", "t", SECOND);
        breaks("UNASKED");
    }

    @Test
    public void anothersTenant() {
        sent("a", false);
        watch.ran("a", "c1", "desk", "another", SECOND);
        breaks("UNASKED");
    }

    @Test
    public void aServiceThatNoVersionNames() {
        sent("a", false);
        watch.ran("a", "c1", "intake", "t", SECOND);
        breaks("ROUTE");
    }

    @Test
    public void aDrainThatIsNotKept() {
        watch.drainAcked("c1", "core", SECOND);
        sent("a", true);
        watch.ran("a", "c1", "desk", "t", 3 * SECOND);
        keeps();
        watch.ran("a", "c1", "desk", "t", 3 * SECOND + 1);
        breaks("DRAIN");
    }

    @Test
    public void anOldVersionLongAfterANewOne() {
        version(2, "intake", SECOND);
        watch.acked(List.of(item(2, "intake")), InvariantChecker.Proper.VALID, SECOND, SECOND);
        watch.showed("edge", "edge#1", ROUTE, "desk", "desk"::equals, 3 * SECOND, 3 * SECOND);
        keeps();
        watch.showed("edge", "edge#1", ROUTE, "desk", "desk"::equals, 3 * SECOND + 1, 4 * SECOND);
        breaks("CONFIG");
    }

    @Test
    public void whoIsInTroubleIsNotJudged() {
        version(2, "intake", SECOND);
        watch.acked(List.of(item(2, "intake")), InvariantChecker.Proper.VALID, SECOND, SECOND);
        watch.trouble("edge", 2 * SECOND, 3 * SECOND);
        watch.showed("edge", "edge#1", ROUTE, "desk", "desk"::equals, 5 * SECOND, 5 * SECOND);
        keeps();
    }

    @Test
    public void goingBack() {
        version(2, "intake", SECOND);
        watch.showed("edge", "edge#1", ROUTE, "intake", "intake"::equals, SECOND, SECOND);
        watch.showed("edge", "edge#2", ROUTE, "desk", "desk"::equals, 2 * SECOND, 2 * SECOND);
        keeps();
        watch.showed("edge", "edge#1", ROUTE, "desk", "desk"::equals, 2 * SECOND, 2 * SECOND);
        breaks("CONFIG");
    }

    @Test
    public void anInvalidCallThatIsAcknowledged() {
        version(2, "nobody", SECOND);
        watch.acked(List.of(item(2, "nobody")), InvariantChecker.Proper.INVALID, SECOND, SECOND);
        breaks("CONFIG");
    }

    @Test
    public void anAcknowledgedItemThatIsGone() {
        watch.readBack("{\"signals\":[]}", "LOST", SECOND);
        breaks("LOST");
    }

    @Test
    public void noAnswerAtTheEnd() {
        watch.readBack(null, "LOST", SECOND);
        breaks("LOST");
    }

    @Test
    public void aValidChangeWithoutAcknowledgement() {
        version(2, "intake", SECOND);
        watch.refused(List.of(item(2, "intake")), InvariantChecker.Proper.VALID, false, SECOND, 4 * SECOND);
        keeps();
        watch.refused(List.of(item(2, "intake")), InvariantChecker.Proper.VALID, false, SECOND, 5 * SECOND);
        breaks("ACKS");
    }

    @Test
    public void aRequestThatIsBrokenOffByWhoLeaves() {
        sent("a", false);
        watch.lost("a", true, false, SECOND);
        keeps();
        watch.lost("a", true, true, SECOND);
        breaks("LOST");
    }

    @Test
    public void moreThanAQuota() {
        watch.quota(10, 10);
        for (int i = 0; i < 86; i++) { // (10 * 5 + 10) * 1.1 + 20
            sent("a" + i, true);
            watch.ran("a" + i, "c1", "desk", "t", SECOND);
        }
        watch.end();
        keeps();
        sent("b", true);
        watch.ran("b", "c1", "desk", "t", SECOND);
        watch.end();
        breaks("QUOTA");
    }

    @Test
    public void moreThanTheBudget() {
        for (int i = 0; i < 70; i++) {
            sent("a" + i, true);
            watch.arrived("a" + i, "desk", SECOND);
            watch.arrived("a" + i, "desk", SECOND);
        }
        watch.end();
        keeps(); // 70 of 0.2 * 70 + 56
        sent("b", true);
        watch.arrived("b", "desk", SECOND);
        watch.arrived("b", "desk", SECOND);
        watch.end();
        breaks("BUDGET");
    }

    @Test
    public void noRecovery() {
        watch.recovered(100, 25);
        keeps();
        watch.recovered(100, 24);
        breaks("RECOVER");
    }

    private void refused(long revision, String service, InvariantChecker.Proper proper) {
        watch.refused(List.of(item(revision, service)), proper, true, SECOND, SECOND);
    }

    @Test
    public void anAcknowledgedChangeThatIsRefusedWhenItIsSentAgain() {
        version(2, "intake", SECOND);
        refused(2, "intake", InvariantChecker.Proper.EITHER);
        keeps();
        refused(1, "desk", InvariantChecker.Proper.EITHER);
        breaks("CONFIG");
    }

    @Test
    public void aValidChangeThatIsRefused() {
        watch.coreTrouble(0, SECOND, false);
        version(2, "intake", SECOND);
        refused(2, "intake", InvariantChecker.Proper.INVALID);
        keeps();
        version(3, "intake", SECOND);
        refused(3, "intake", InvariantChecker.Proper.VALID);
        breaks("DUTY");
    }

    @Test
    public void twoContentsUnderOneNumber() {
        version(2, "desk", SECOND);
        version(2, "intake", SECOND);
        version(3, "desk", SECOND);
        watch.acked(List.of(item(2, "intake")), InvariantChecker.Proper.EITHER, SECOND, SECOND);
        watch.acked(List.of(item(2, "intake")), InvariantChecker.Proper.EITHER, SECOND, SECOND);
        watch.acked(List.of(item(3, "desk")), InvariantChecker.Proper.EITHER, SECOND, SECOND);
        keeps();
        watch.acked(List.of(item(2, "desk")), InvariantChecker.Proper.EITHER, SECOND, SECOND);
        breaks("CONFIG");
    }

    @Test
    public void whatIsInForceUnderANumberThatAnotherHas() {
        version(2, "desk", SECOND);
        version(2, "intake", SECOND);
        watch.showed("edge", "edge#1", ROUTE, "intake", "intake"::equals, SECOND, SECOND);
        keeps();
        watch.acked(List.of(item(2, "desk")), InvariantChecker.Proper.EITHER, SECOND, SECOND);
        watch.showed("edge", "edge#2", ROUTE, "intake", "intake"::equals, SECOND, SECOND);
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
            watch.sentVersion(new Item("plants", service, 1, PLANT), "", 0);
        }
        version(2, "intake", SECOND);
        watch.acked(List.of(item(2, "intake")), InvariantChecker.Proper.VALID, SECOND, 2 * SECOND);
        watch.read(read(2, "intake"), 3 * SECOND);
        watch.read(read(1, "desk"), 2 * SECOND - 1);
        keeps();
        watch.read(read(1, "desk"), 2 * SECOND);
        breaks("CONFIG");
    }

    @Test
    public void aChangeThatWaitsInASettledStretch() {
        watch.coreTrouble(2 * SECOND, 3 * SECOND, false); // settled again at 6
        version(2, "intake", SECOND);
        watch.acked(List.of(item(2, "intake")), InvariantChecker.Proper.VALID, SECOND, 10 * SECOND - 1);
        keeps();
        version(3, "intake", SECOND);
        watch.acked(List.of(item(3, "intake")), InvariantChecker.Proper.VALID, SECOND, 10 * SECOND);
        breaks("ACKS");
    }

    @Test
    public void aStartThatIsReadyOnAMinoritysWord() {
        watch.minority("edge", 2 * SECOND, 22 * SECOND);
        watch.ready("edge", SECOND, 5 * SECOND); // it began before
        watch.ready("edge", 3 * SECOND, 22 * SECOND + 1);
        watch.ready("another", 3 * SECOND, 5 * SECOND);
        keeps();
        watch.ready("edge", 3 * SECOND, 22 * SECOND);
        breaks("CONTACT");
    }

    @Test
    public void checkersThatNobodyHears() {
        for (int i = 0; i < 12; i++) {
            watch.drainAcked("c" + i, "core", SECOND);
        }
        for (int i = 0; i < 3; i++) { // a fifth of fifteen
            watch.drainUnheard(SECOND, 6 * SECOND);
        }
        watch.end();
        keeps();
        watch.drainUnheard(SECOND, 6 * SECOND);
        watch.end();
        breaks("ACKS");
    }

    @Test
    public void aProcessThatEndsByItself() {
        watch.endedByItself("core/store");
        breaks("FAULT");
    }

    @Test
    public void aDrainThatIsNotKeptInTheMidstOfACut() {
        watch.drainAcked("c1", "core", SECOND);
        watch.coreTrouble(SECOND, 21 * SECOND, false);
        sent("a", true);
        watch.ran("a", "c1", "desk", "t", 4 * SECOND); // the core is not settled yet
        keeps();
        watch.ran("a", "c1", "desk", "t", 4 * SECOND + 1);
        breaks("DRAIN");
    }

    @Test
    public void aDrainThatSomebodyOutOfTouchHasAcknowledged() {
        watch.trouble("core", 0, 2 * SECOND);
        watch.drainAcked("c1", "core", SECOND);
        sent("a", true);
        watch.ran("a", "c1", "desk", "t", 9 * SECOND);
        keeps();
    }
}
