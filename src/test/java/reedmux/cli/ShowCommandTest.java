package reedmux.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the commands {@code show} and {@code core} and their client against a fake control machine. */
public class ShowCommandTest {
    private static final String PARTITIONED_RESPONSE = "{\"show\":\"Core\",\"node\":\"core-1\",\"majority\":false,"
            + "\"epoch\":3,\"ageMs\":20417,"
            + "\"entries\":[{\"node\":\"core-1\",\"ip\":\"10.0.0.1\",\"heardMs\":0},"
            + "{\"node\":\"core-2\",\"ip\":\"10.0.0.2\",\"heardMs\":null}]}";
    private final List<String> requests = new ArrayList<>();
    private final List<String> responses = new ArrayList<>();
    private HttpServer server;
    private String address;

    @BeforeMethod
    public void startServer() throws IOException {
        requests.clear();
        responses.clear();
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        address = "127.0.0.1:" + server.getAddress().getPort();
        server.createContext("/", exchange -> {
            requests.add(exchange.getRequestMethod() + ' ' + exchange.getRequestURI());
            String[] next = (responses.size() > 1 ? responses.remove(0) : responses.get(0)).split(" ", 2);
            int status = Integer.parseInt(next[0]);
            byte[] text = next[1].getBytes(StandardCharsets.UTF_8);
            if (status == 307) {
                exchange.getResponseHeaders().add("Location", next[1]);
            }
            exchange.sendResponseHeaders(status, text.length);
            exchange.getResponseBody().write(text);
            exchange.close();
        });
        server.start();
    }

    @AfterMethod
    public void stopServer() {
        server.stop(0);
    }

    private ControlClient.ControlResponse call(long timeoutMillis, String... addresses) throws Exception {
        return new ControlClient(List.of(addresses), timeoutMillis).call("GET", "/v1/Show.Core");
    }

    @Test
    public void aFailureOr5xxIsRetriedAtTheNextAddress() throws Exception {
        responses.addAll(List.of("503 later", "429 later", "200 {}"));
        assertEquals(call(5_000, "127.0.0.1:1", address).status(), 200);
        assertEquals(requests.size(), 3);
    }

    @Test
    public void redirectsAreFollowedTwice() throws Exception {
        responses.addAll(List.of("307 /a", "307 /b", "200 {}"));
        assertEquals(call(1_000, address).status(), 200);
        assertEquals(requests, List.of("GET /v1/Show.Core", "GET /a", "GET /b"));
        responses.addAll(0, List.of("307 /a", "307 /b", "307 /c"));
        assertEquals(call(1_000, address).status(), 307);
    }

    @Test
    public void aRejectionIsNotRetried() throws Exception {
        responses.add("409 too few");
        assertEquals(call(5_000, address).body(), "too few");
        assertEquals(requests.size(), 1);
    }

    @Test
    public void theLastFailureIsReportedAfterTheTimeout() {
        responses.add("503 too few of the core can be reached");
        IOException failure = org.testng.Assert.expectThrows(IOException.class, () -> call(300, address));
        assertEquals(
                failure.getMessage(),
                "no answer within 300 ms; the last: " + address + " answers 503: too few of the core can be reached");
    }

    @Test
    public void aMissingMajorityIsPrintedFirst() throws Exception {
        assertEquals(ShowTable.format("10.0.0.1:9", PARTITIONED_RESPONSE), """
                NO CONTACT WITH A MAJORITY: may be out of date; told by core-1 (10.0.0.1:9), age 20417 ms, \
                epoch 3
                node    ip        heardMs
                core-1  10.0.0.1  0
                core-2  10.0.0.2  -
                2 shown""");
        assertThrows(Exception.class, () -> ShowTable.format("a", "{\"entries\":7}"));
    }

    private String run(int code, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "reedmux.cli.Main"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), code, out);
        return out;
    }

    @Test
    public void commandsEndWithTheirExitCodesAndLines() throws Exception {
        responses.add("200 " + PARTITIONED_RESPONSE);
        assertEquals(run(0, "show", "core", "--json", "--control", address), PARTITIONED_RESPONSE + '\n');
        assertTrue(run(0, "show", "checkers", "--service", "a b", "--limit", "5", "--control", address)
                .startsWith("NO CONTACT"));
        assertEquals(requests.get(1), "GET /v1/Show.Checkers?service=a+b&limit=5");
        assertTrue(run(2, "show", "lives", "--control", address)
                .contains("say one of members, core, checkers, items, duties"));
        assertTrue(run(2, "show", "core", "--control", "here").contains("--control is not an address:port: here"));
        assertTrue(run(1, "show", "core", "--wait", "100", "--control", "127.0.0.1:1")
                .contains("no answer within"));
        assertTrue(run(0, "show", "--help").contains("told, also by a machine without a majority"));
        assertTrue(run(2, "core", "join", "core-2", "--control", address).contains("say: core leave NODE"));
        assertEquals(run(0, "core", "leave", "core-2", "--control", address), "core-2 is no member of the core\n");
        assertEquals(requests.get(2), "POST /v1/Core.Leave/core-2");
    }
}
