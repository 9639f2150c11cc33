package reedmux.gatekeeper.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedmux.gatekeeper.policy.TrafficPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyEvent;

class SimulatorSessionTest {
    private static final String CONFIGURE = "CONFIGURE\t3\t99\tgroupSize=2\tposition=1\tlanes.count=1"
            + "\tlanes.0.effect=read_like\tlanes.0.targetUs=500000\tlanes.0.deadlineUs=2000000"
            + "\tpackages.count=1\tpackages.0.refill=5\tpackages.0.mostAtOnce=10"
            + "\ttelemetry.fields=served_ps,new_thing,cpu_share"
            + "\tlimits.peerMessages=true\textra.mailPerS=60\tsome.new.key=x\n";
    private static final String SERVER_LIST = "VIEW\t3\tcached\t1\t1\nSERVER\t10.0.0.1:80\t0\t0\t0\tReady\t1\t-\n";
    private static final String REQUEST = "KNOCK\t3\t00000000000000aa\t0\t0\t77\t3000000\t1\t1\t1\t0\n";

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int serveBatches(String... batches) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < batches.length; i++) {
            text.append("CLOCK\t").append(1_000_000 + i * 1000).append('\n');
            text.append(batches[i]).append("YOUR_TURN\n");
        }
        return SimulatorMain.serve(
                new BufferedReader(new StringReader(text.toString())),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchHasAnEmptyReply() {
        assertEquals(0, serveBatches("", ""));
        assertEquals("FINISHED\nFINISHED\n", output());
    }

    @Test
    void requestIsForwardedAndItsEndProcessed() {
        assertEquals(
                0,
                serveBatches(
                        CONFIGURE + SERVER_LIST,
                        REQUEST,
                        "SETTLED\t3\t00000000000000aa\t1\t10.0.0.1:80\t0\t0\t0\t900\tdone\t5,6,0.5\n"
                                + "WITHDRAWN\t3\t00000000000000aa\n",
                        "DOWN\t3\n" + CONFIGURE + SERVER_LIST));
        String forwarded = "FORWARD\t3\t00000000000000aa\t1997000\t10.0.0.1:80\nFINISHED\n";
        assertTrue(output().contains(forwarded), output());
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void malformedInputIsReportedInOneLineWithAnExitCode() {
        List<String> malformedBatches = List.of(
                REQUEST,
                "NOISE\t3\n",
                CONFIGURE + "NOISE\t3\n",
                CONFIGURE + "KNOCK\t3\tzz\n",
                CONFIGURE + REQUEST.replace("\t77\t", "\t-77\t"),
                CONFIGURE + REQUEST.replace("\t77\t", "\t9999999999\t"),
                CONFIGURE + REQUEST.replace("\t3000000\t1\t", "\t3000000\tNaN\t"),
                CONFIGURE + REQUEST.replace("aa\t0\t0", "aa\t7\t0"),
                CONFIGURE + "ELAPSED\t3\n",
                CONFIGURE + "VIEW\t3\tfull\t1\t2\nSERVER\tx\t0\t0\t0\tReady\t1\t-\n",
                CONFIGURE + "INBOX\t3\t0\tabc\n",
                CONFIGURE.replace("position=1", "position=2"),
                CONFIGURE.replace("groupSize=2", "x=2"),
                CONFIGURE.replace("targetUs=500000", "targetUs=5000000"),
                CONFIGURE.replace("mostAtOnce=10", "mostAtOnce=0"),
                "CONFIGURE\t3\t1\tnonsense\n");
        for (String batch : malformedBatches) {
            err.reset();
            assertEquals(1, serveBatches(batch), batch);
            String line = err.toString(StandardCharsets.UTF_8);
            assertTrue(line.startsWith("reedmux: line ") && line.indexOf('\n') == line.length() - 1, line);
        }
    }

    @Test
    void contradictorySettingNamesItsKey() {
        serveBatches(CONFIGURE.replace("targetUs=500000", "targetUs=5000000"));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("lanes.0.targetUs"));
    }

    @Test
    void inputThatEndsWithinABatchIsMalformed() {
        assertEquals(
                1,
                SimulatorMain.serve(
                        new BufferedReader(new StringReader("CLOCK\t5\n")),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
    }

    @Test
    void everyEventAndActionIsTranslated() throws IOException, SimulatorProtocolException {
        List<PolicyEvent> receivedEvents = new ArrayList<>();
        SimulatorSession session = new SimulatorSession((settings, seed) -> (now, event, actions) -> {
            receivedEvents.add(event);
            actions.send("r", "s", 5);
            actions.reject("r", 6);
            actions.fail("r");
            actions.cancelAttempt("r", 1);
            actions.checkHealth("s");
            actions.closeIdleConnections("s");
            actions.sendToPeer(0, new byte[] {1, (byte) 0xAB});
            actions.addToCounter(9, 2.5, 7);
            actions.fetchServers();
            actions.watchServers(true);
            actions.setTimer(8, 4);
            actions.log("a\tb\nc");
        });
        String events = "FIRST_BYTE\t3\t00000000000000aa\ts\t0\t9\nTALLY_BACK\t3\t9\tdone\t38\t2\n"
                + "CHECKED\t3\ts\tetimedout\t14\t140,7,0.62\nELAPSED\t3\t4\nINBOX\t3\t0\t01ab\n"
                + "VIEW\t3\tfailed\t0\t0\n";
        String actionLines = "FORWARD\t3\tr\t5\ts\nSHED\t3\tr\t6\nDROP_REQUEST\t3\tr\nSTOP_ATTEMPT\t3\tr\t1\n"
                + "TEST\t3\ts\n"
                + "CLOSE\t3\ts\nMEMO_TO\t3\t0\t01ab\nPOST_AMOUNT\t3\t7\t9\t2.5\nRESOLVE\t3\nWATCH\t3\t1\n"
                + "TIMER\t3\t8\t4\nDEBUG\t3\ta b c\n";
        String batch = "CLOCK\t1\n" + CONFIGURE + events + "YOUR_TURN\n";
        session.run(new BufferedReader(new StringReader(batch)), out);
        assertEquals(actionLines.repeat(6) + "FINISHED\n", output());
        assertEquals(new TrafficPolicy.CounterResult(9, AttemptOutcome.OK, 38, 2), receivedEvents.get(1));
        assertEquals(new TrafficPolicy.HealthCheckEnded("s", AttemptOutcome.TIMEOUT, 14), receivedEvents.get(2));
    }

    @Test
    void exceptionOfThePolicyIsReportedForItsInstance() throws IOException, SimulatorProtocolException {
        SimulatorSession session = new SimulatorSession((settings, seed) -> (now, event, actions) -> {
            throw new IllegalStateException("broken\there");
        });
        String batch = "CLOCK\t1\n" + CONFIGURE + "ELAPSED\t3\t4\nYOUR_TURN\n";
        session.run(new BufferedReader(new StringReader(batch)), out);
        String expected = "GIVE_IN\t3\tjava.lang.IllegalStateException: broken here at ";
        assertTrue(output().startsWith(expected), output());
    }
}
