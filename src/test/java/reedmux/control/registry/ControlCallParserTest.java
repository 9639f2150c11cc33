package reedmux.control.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.MalformedMessageException;
import reedmux.control.instances.InstanceIncarnation;

/** Parsing of valid and invalid requests to the control API. */
public class ControlCallParserTest {
    private static final String HEARTBEAT_JSON = "{\"plant\":\"desk\",\"address\":\"10.1.0.9:8080\","
            + "\"zone\":\"hall\",\"revision\":\"v1\",\"capacity\":6,"
            + "\"phase\":\"ready\",\"coldLeftMs\":0,\"seq\":4}";

    private static ControlCall parseHeartbeat(String id, byte[] body) throws MalformedMessageException {
        return ControlCallParser.parse(Http1Head.request("POST", "/v1/Instances.Heartbeat/" + id), body);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void parsesAHeartbeat() throws MalformedMessageException {
        assertEquals(
                parseHeartbeat("i-1", bytes(HEARTBEAT_JSON)),
                new ControlCall.HeartbeatCall(new InstanceIncarnation(
                        "i-1", "desk", "10.1.0.9:8080", "hall", 6, InstanceIncarnation.READY, 4, 0, false)));
    }

    @DataProvider
    public Object[][] invalidHeartbeats() {
        return new Object[][] {
            {HEARTBEAT_JSON.replace("ready", "here"), "phase"},
            {HEARTBEAT_JSON.replace("\"desk\"", "7"), "plant is not a text"},
            {HEARTBEAT_JSON.replace("\"zone\":\"hall\",", ""), "zone is missing"},
            {HEARTBEAT_JSON.replace("10.1.0.9:8080", "desk.example:80"), "address"},
            {HEARTBEAT_JSON.replace("desk", "d".repeat(300)), "plant is longer"},
            {HEARTBEAT_JSON.replace("\"capacity\":6", "\"capacity\":1e30"), "capacity is over"},
            {HEARTBEAT_JSON.replace("\"capacity\":6", "\"capacity\":-1"), "capacity is below 0"},
            {HEARTBEAT_JSON.replace("\"seq\":4", "\"seq\":1e300"), "seq is over"},
            {HEARTBEAT_JSON.replace("\"seq\":4", "\"seq\":\"4\""), "seq is not a number"},
            {HEARTBEAT_JSON.replace("\"coldLeftMs\":0", "\"coldLeftMs\":1e12"), "coldLeftMs is over"},
            {HEARTBEAT_JSON.replace("v1", "v".repeat(20_000)), "the body is longer"},
            {"[]", "the body is not an object"},
            {HEARTBEAT_JSON + HEARTBEAT_JSON, "more follows"}
        };
    }

    @Test(dataProvider = "invalidHeartbeats")
    public void reportsTheInvalidField(String body, String problem) {
        try {
            parseHeartbeat("i-1", bytes(body));
        } catch (MalformedMessageException e) {
            assertEquals(e.status(), 400);
            assertTrue(
                    e.getMessage().startsWith("Instances.Heartbeat of i-1: ")
                            && e.getMessage().contains(problem),
                    e.getMessage());
            return;
        }
        throw new AssertionError("accepted an invalid heartbeat: " + body);
    }

    /** Truncates a heartbeat at each byte and flips each of its bits; a truncated one must always be rejected. */
    @Test
    public void rejectsTruncatedBodiesAndBoundsFieldsOfCorruptedOnes() {
        byte[] heartbeat = bytes(HEARTBEAT_JSON);
        int rejected = 0;
        for (int i = 0; i < 9 * heartbeat.length; i++) {
            byte[] body = i < heartbeat.length ? Arrays.copyOf(heartbeat, i) : heartbeat.clone();
            if (i >= heartbeat.length) {
                body[i % heartbeat.length] ^= (byte) (1 << i / heartbeat.length - 1);
            }
            try {
                InstanceIncarnation incarnation =
                        ((ControlCall.HeartbeatCall) parseHeartbeat("i-1", body)).incarnation();
                assertTrue(i >= heartbeat.length && incarnation.capacity() > 0 && incarnation.sequence() >= 0);
            } catch (MalformedMessageException e) {
                assertTrue(e.status() == 400 && e.getMessage().contains("i-1"), e.getMessage());
                rejected++;
            }
        }
        assertTrue(rejected > heartbeat.length, rejected + " of the corrupted heartbeats were rejected");
    }

    @Test
    public void rejectsMissingOrLongIdsAndInvalidUtf8() {
        byte[] emptyBody = {};
        for (String path : new String[] {
            "/v1/Instances.Leave/",
            "/v1/Instances.Heartbeat/",
            "/v1/Instances.Leave/" + "i".repeat(300),
            "/v1/Instances.Leave",
            "/v2/none"
        }) {
            try {
                throw new AssertionError(ControlCallParser.parse(Http1Head.request("POST", path), emptyBody));
            } catch (MalformedMessageException e) {
                assertEquals(e.status(), path.contains("Leave/") || path.contains("Heartbeat/") ? 400 : 404);
            }
        }
        try {
            throw new AssertionError(ControlCallParser.parse(
                    Http1Head.request("POST", "/v1/Config.Adjust"), new byte[] {'{', '"', (byte) 0xC3, '"', '}'}));
        } catch (MalformedMessageException e) {
            assertEquals(e.getMessage(), "Config.Adjust: byte 2 of the body is not UTF-8");
        }
    }
}
