package reedmux.simulation.harness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.settings.ProcessSettingsException;

/** The whole path on real sockets: what clients, checkers and the operator are answered. */
public class LoopbackGatewayTest {
    private static final String IDS = "Reedmux-Attempt-Id: %s\r\nReedmux-Time-Left-Ms: 2000\r\n";
    private static final String KEY = "Authorization: Bearer key-of-first\r\n";
    private LoopbackGateway stage;

    @BeforeClass
    public void start() throws IOException, ProcessSettingsException {
        stage = new LoopbackGateway(78, 2, 3);
        assertEquals(
                stage.changeConfiguration(LoopbackGateway.INITIAL_CONFIGURATION).status(), 200);
        assertTrue(stage.awaitReady(20_000));
    }

    @AfterClass
    public void end() throws IOException {
        stage.close();
    }

    private int statusOf(String text) throws IOException {
        return stage.call(stage.frontAddress(0), text.getBytes(StandardCharsets.ISO_8859_1))
                .status();
    }

    private static String get(String path, String host, String more) {
        return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + more + "\r\n";
    }

    @Test
    public void eachRequestIsExecutedOnce() throws IOException {
        for (int i = 0; i < 40; i++) {
            assertEquals(
                    stage.request(i % 2, "POST", "/order/x", "once-" + i, "body")
                            .status(),
                    200);
        }
        for (int i = 0; i < 40; i++) {
            assertEquals(Collections.frequency(stage.executedAttempts(), "once-" + i), 1);
        }
    }

    @Test
    public void anInvalidRequestIsRejectedAndNeverExecuted() throws IOException {
        String ids = String.format(IDS, "wrong");
        assertEquals(statusOf(get("/nowhere/", "desk.example", ids + KEY)), 404);
        assertEquals(statusOf(get("/look/", "other.example", ids + KEY)), 404);
        assertEquals(statusOf(get("/look/", "desk.example", ids)), 401);
        assertEquals(statusOf(get("/look/", "desk.example", ids + "Authorization: Bearer none\r\n")), 401);
        assertEquals(statusOf(get("/look/", "desk.example", KEY)), 400);
        assertEquals(statusOf(get("/look/", "desk.example", ids + KEY + "Host: two.example\r\n")), 400);
        assertEquals(statusOf(get("/look/", "desk.example", ids + KEY + "Bad Name: x\r\n")), 400);
        assertEquals(statusOf(get("/look/", "desk.example", ids + KEY + "Long: " + "x".repeat(20_000) + "\r\n")), 431);
        String post = "POST /order/ HTTP/1.1\r\nHost: desk.example\r\n" + ids + KEY;
        assertEquals(statusOf(post + "Content-Length: 99999999999\r\n\r\n"), 413);
        assertEquals(statusOf(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
        assertEquals(statusOf(post + "Transfer-Encoding: chunked\r\n\r\n3;a=\"\n\"\r\nabc\r\n0\r\n\r\n"), 400);
        assertEquals(statusOf(post + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n"), 400);
        assertEquals(statusOf(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), 400);
        assertTrue(!stage.executedAttempts().contains("wrong"));
    }

    @Test
    public void bodiesAreForwardedCompletelyWithLengthAndInChunks() throws IOException {
        int large = 3_000_000;
        LoopbackGateway.LoopbackResponse told = stage.request(0, "POST", "/order/x", "large", "y".repeat(large));
        assertEquals(told.status(), 200);
        assertTrue(told.body().contains(large + " bytes"), told.body());
        String chunked = "POST /order/ HTTP/1.1\r\nHost: desk.example\r\n" + String.format(IDS, "chunks") + KEY
                + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
        LoopbackGateway.LoopbackResponse chunks =
                stage.call(stage.frontAddress(0), chunked.getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(chunks.body().contains("11 bytes"), chunks.body());
    }

    /** How a checker misbehaves, and what the client of a request that may run once is told. */
    @DataProvider
    public Object[][] mischief() {
        return new Object[][] {
            {"stray", 200},
            {"behind", 200},
            {"cut", 502},
            {"endless", 502},
            {"noseal", 502},
            {"coded", 502},
            {"other", 502},
            {"noise", 502},
            {"silent", 502},
            {"unmarked", 502},
            {"limited", 502}
        };
    }

    @Test(dataProvider = "mischief")
    public void aFaultyResponseIsNeverMistakenForAnotherOrForAComplete(String how, int status) throws IOException {
        LoopbackGateway.LoopbackResponse told = stage.request(0, "POST", "/order/" + how, "m-" + how, "body");
        assertEquals(told.status(), status, how);
        assertTrue(status != 200 || told.body().equals("good"), how + ": " + told.body());
        assertEquals(Collections.frequency(stage.executedAttempts(), "m-" + how), 1);
        LoopbackGateway.LoopbackResponse next = stage.request(0, "POST", "/order/x", "after-" + how, "body");
        assertTrue(next.status() == 200 && next.body().contains("4 bytes of /order/x"), next.body());
    }

    @Test
    public void aRequestRejectedByCheckersIsReportedAsNotExecuted() throws IOException {
        assertEquals(stage.request(1, "POST", "/order/shed", "shed", "body").status(), 503);
        assertTrue(!stage.executedAttempts().contains("shed"));
    }

    @Test
    public void theOperatorReadsTheConfigurationInForce() throws IOException {
        LoopbackGateway.LoopbackResponse read = stage.readConfiguration();
        assertEquals(read.status(), 200);
        assertTrue(read.body().startsWith("{\"signals\":[") && read.body().contains("\"look-up\""));
        assertEquals(stage.changeConfiguration("{\"apply\":{\"signals\":[{").status(), 400);
        assertEquals(stage.readConfiguration().body(), read.body());
    }
}
