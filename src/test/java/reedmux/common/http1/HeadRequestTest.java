package reedmux.common.http1;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.Test;
import reedmux.common.eventloop.ScriptedEnvironment;

/** Guards against a body behind an answer to HEAD, which a caller would read as the next answer (as in review/6). */
public class HeadRequestTest {

    @Test
    public void headRequestGetsNoBody() throws IOException {
        ScriptedEnvironment environment = new ScriptedEnvironment();
        new Http1ServerConnection(
                environment.reactor(),
                environment.acceptConnection(),
                (request, connection) -> connection.respond(200, "{}"));
        ScriptedEnvironment.ScriptedSocket caller = environment.sockets.get(0);
        caller.receive("HEAD /v1/Config.Read HTTP/1.1\r\nHost: c\r\n\r\n");
        assertTrue(caller.writtenText().endsWith("Content-Length: 2\r\n\r\n"), caller.writtenText());
        caller.receive("GET /v1/Config.Read HTTP/1.1\r\nHost: c\r\n\r\n");
        assertTrue(caller.writtenText().endsWith("\r\n\r\n{}"), caller.writtenText());
    }
}
