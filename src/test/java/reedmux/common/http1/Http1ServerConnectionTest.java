package reedmux.common.http1;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.common.eventloop.BufferBudget;
import reedmux.common.eventloop.ScriptedEnvironment;

/** Guards against stores and registries that run out of memory by what callers of the control API send. */
public class Http1ServerConnectionTest {
    private static final String HEAD = "POST /v1/Config.Adjust HTTP/1.1\r\nHost: c\r\nContent-Length: 8000000\r\n\r\n";

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private final BufferBudget budget = environment.reactor().bufferBudget();
    private final List<byte[]> bodies = new ArrayList<>();

    private ScriptedEnvironment.ScriptedSocket open() throws IOException {
        new Http1ServerConnection(environment.reactor(), environment.acceptConnection(), (request, connection) -> {
            bodies.add(request.body());
            connection.respond(200, "{}");
        });
        return environment.sockets.get(environment.sockets.size() - 1);
    }

    /** Many large bodies together keep the budget; the call that exceeds it is ended, the others are served. */
    @Test
    public void largeBodiesTogetherKeepTheBudget() throws IOException {
        List<ScriptedEnvironment.ScriptedSocket> callers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            callers.add(open());
            callers.get(i).receive(HEAD + "x".repeat(6_000_000));
            assertTrue(budget.totalBytes() <= budget.limitBytes(), budget.totalBytes() + " bytes");
        }
        callers.forEach(caller -> caller.receive("x".repeat(2_000_000)));
        assertTrue(bodies.size() >= 2 && bodies.size() < 6, bodies.size() + " calls were served");
        assertEquals(budget.totalBytes(), 0);
    }

    /** A closed connection releases the body that was being read and its timer at once. */
    @Test
    public void closedConnectionRetainsNothing() throws IOException {
        for (int i = 0; i < 500; i++) {
            ScriptedEnvironment.ScriptedSocket caller = open();
            caller.receive(HEAD + "x".repeat(100_000));
            caller.reset();
            assertEquals(budget.totalBytes(), 0);
        }
        int scheduled = environment.reactor().scheduledTaskCount();
        assertTrue(scheduled < 200, scheduled + " timers");
        assertFalse(environment.sockets.stream().anyMatch(socket -> !socket.isClosed()));
    }

    /** Guards against answers that are cut short: the output was shut down while most of a last answer was queued. */
    @Test
    public void callerThatReadsSlowlyGetsItsWholeLastAnswer() throws IOException {
        ScriptedEnvironment slow = new ScriptedEnvironment();
        String answer = "{" + "a".repeat(400_000) + "}";
        new Http1ServerConnection(
                slow.reactor(), slow.acceptConnection(), (request, connection) -> connection.respond(200, answer));
        ScriptedEnvironment.ScriptedSocket caller = slow.sockets.get(0);
        caller.setCapacityBytes(1_000);
        caller.receive("GET /v1/Config.Read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
        for (int seconds = 0; seconds < 5; seconds++) {
            slow.advanceMicros(1_000_000);
            caller.setCapacityBytes(100_000);
        }
        assertTrue(caller.writtenText().endsWith(answer), caller.writtenText().length() + " bytes");
        slow.advanceMicros(1_000_000);
        assertTrue(caller.isClosed());
    }

    /** A caller that does not read its last answer is disconnected. */
    @Test
    public void callerThatReadsNothingIsDisconnected() throws IOException {
        ScriptedEnvironment slow = new ScriptedEnvironment();
        new Http1ServerConnection(
                slow.reactor(), slow.acceptConnection(), (request, connection) -> connection.respond(200, "{}"));
        ScriptedEnvironment.ScriptedSocket caller = slow.sockets.get(0);
        caller.setCapacityBytes(0);
        caller.receive("GET /v1/Config.Read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
        slow.advanceMicros(62_000_000);
        assertTrue(caller.isClosed());
        assertEquals(slow.reactor().bufferBudget().totalBytes(), 0);
    }

    /** review/6: the answer to a HEAD request that is refused by its head has no body either. */
    @Test
    public void refusedHeadRequestGetsNoBody() throws IOException {
        ScriptedEnvironment.ScriptedSocket caller = open();
        caller.receive("HEAD /v1/Config.Read HTTP/1.1\r\nHost: c\r\nContent-Length: 9000000\r\n\r\n");
        String answer = caller.writtenText();
        assertTrue(answer.startsWith("HTTP/1.1 413") && answer.endsWith("\r\n\r\n"), answer);
    }
}
