package reedmux.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.settings.OperatorSettings;

/**
 * Replays the recorded exchanges in {@code src/test/resources/exchanges} against a gatekeeper, line by line. Each line
 * names a party, a step and the step's argument. Steps of a connection:
 *
 * <ul>
 *   <li>{@code >} sends a line, {@code >>} sends all text at once and without a line end, {@code bytes} sends each byte
 *       separately, {@code answers} sends a complete response with the given body;
 *   <li>{@code <} expects a line, in which {@code *} matches any text, and {@code <<} expects exactly the given bytes;
 *   <li>{@code take} reads the given number of bytes, {@code cut} expects the connection to end after fewer bytes,
 *       {@code skip} reads to the end of a header;
 *   <li>{@code crowd} opens the given number of consumer connections, which request the health and stay open;
 *       {@code silent} opens connections that send nothing;
 *   <li>{@code counts} polls the admin server until it reports the given metric line: the thread that counts a call is
 *       not the one that sends the bytes which the provider receives.
 * </ul>
 *
 * <p>{@code node log} compares the log lines, {@code node deaf} expects that consumers cannot connect yet,
 * {@code settings} adds a line to the operators' settings, and {@code node settle} reloads the settings from such a
 * line.
 *
 * <p>The parties: c1 and c2 are consumers, p1 and p2 are providers, d and d2 are discovery, u1 is a peer, r1 and r2 are
 * gateways of another region, o1 is an operator connected to the admin server, and x1 is a gateway of another region
 * that connects to this gatekeeper's region listener.
 */
@RunWith(Parameterized.class)
public final class RecordedExchangesTest {
    private static final Path FOLDER = Path.of("src/test/resources/exchanges");
    /** Only keeps a failing test from blocking forever; no assertion depends on its value. */
    private static final int TIMEOUT_MILLIS = 10_000;

    @Parameterized.Parameters(name = "{0}")
    public static List<String> scripts() throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".txt"))
                    .sorted()
                    .toList();
        }
    }

    private final String script;
    private final Map<String, ServerSocket> listeners = new HashMap<>();
    private final Map<String, Socket> sockets = new HashMap<>();
    private final Map<String, DatagramSocket> datagrams = new HashMap<>();
    private final List<Exception> crashes = new ArrayList<>();
    private final CountDownLatch mayWarmUp = new CountDownLatch(1);
    private Thread warmUpThread;
    private String config;
    private final StringBuilder settings = new StringBuilder();
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private GatekeeperProcess gatekeeper;
    private Thread gatekeeperThread;
    private InetSocketAddress peerListen;

    public RecordedExchangesTest(String script) {
        this.script = script;
    }

    @Test
    public void exchangeMatchesTheRecording() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (String name : List.of("p1", "p2", "d", "d2", "r1", "r2")) {
            listeners.put(name, new ServerSocket(0, 50, loopback));
            listeners.get(name).setSoTimeout(TIMEOUT_MILLIS);
        }
        for (String name : List.of("u1", "u2", "node")) {
            datagrams.put(name, new DatagramSocket(new InetSocketAddress(loopback, 0)));
            datagrams.get(name).setSoTimeout(TIMEOUT_MILLIS);
        }
        try (DatagramSocket free = datagrams.remove("node")) {
            peerListen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        config = withAddresses(Files.readString(FOLDER.resolve("config.json")));
        int lineNumber = 0;
        try {
            for (String line : Files.readAllLines(FOLDER.resolve(script))) {
                lineNumber++;
                if (line.startsWith("with ")) {
                    config = withReplacement(config, withAddresses(line.substring(5)));
                } else if (line.startsWith("settings ")) {
                    settings.append(withAddresses(line.substring(9))).append('\n');
                } else if (line.startsWith("fails ")) {
                    expectFailure(config, withAddresses(line.substring(6)));
                } else if (!line.startsWith("#")) {
                    start(config);
                    playStep(line);
                }
            }
        } catch (IOException | AssertionError e) {
            throw new AssertionError(script + ':' + lineNumber + ": " + e.getMessage(), e);
        } finally {
            end();
        }
        assertEquals(List.of(), crashes);
    }

    /** Replaces the placeholders of parties by their addresses. */
    private String withAddresses(String text) {
        String result = text.replace("$node", "127.0.0.1:" + peerListen.getPort())
                .replace("$u1", "127.0.0.1:" + datagrams.get("u1").getLocalPort());
        for (Map.Entry<String, ServerSocket> party : listeners.entrySet()) {
            result = result.replace(
                    "${" + party.getKey() + '}', "127.0.0.1:" + party.getValue().getLocalPort());
        }
        return result;
    }

    private static String withReplacement(String text, String change) {
        String[] pair = change.split(" => ", 2);
        assertTrue(change, text.contains(pair[0]));
        return text.replaceFirst(Pattern.quote(pair[0]), pair[1].replace("$", "\\$"));
    }

    private static void expectFailure(String config, String line) {
        int separator = line.lastIndexOf(" : ");
        try {
            read(withReplacement(config, line.substring(0, separator)));
            fail("the configuration was accepted: " + line);
        } catch (ConfigException e) {
            assertMatches(line.substring(separator + 3), e.getMessage());
        }
    }

    private static GatekeeperConfig read(String config) throws ConfigException {
        return GatekeeperConfig.read(config.getBytes(StandardCharsets.UTF_8), Map.of(), new MonotonicClock());
    }

    private static LoadedConfiguration loadConfiguration(GatekeeperConfig config, String script)
            throws ConfigException {
        try {
            return LoadedConfiguration.of(
                    config,
                    OperatorSettings.parse("own.star", script),
                    FOLDER.resolve("own.star"),
                    new MonotonicClock());
        } catch (ScriptException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private void start(String config) throws Exception {
        if (gatekeeper != null) {
            return;
        }
        gatekeeper = new GatekeeperProcess(
                loadConfiguration(read(config), settings.toString()), new MonotonicClock(), log::add);
        if (script.equals("warm-up.txt")) {
            warmUpThread = gatekeeper.warmUpAfter(mayWarmUp::await);
        }
        boolean waitsForFirstList = script.startsWith("first-list");
        if (waitsForFirstList) {
            gatekeeper.setFirstEndpointListTimeout(script.contains("silent") ? 1 : TIMEOUT_MILLIS);
        }
        gatekeeperThread = new Thread(() -> {
            try {
                gatekeeper.run();
            } catch (IOException | InterruptedException | RuntimeException e) {
                crashes.add(e);
            }
        });
        gatekeeperThread.start();
        if (!waitsForFirstList) {
            gatekeeper.awaitListening();
        }
    }

    private void end() throws Exception {
        for (AutoCloseable socket : Stream.of(sockets, listeners, datagrams)
                .flatMap(map -> map.values().stream())
                .toList()) {
            socket.close();
        }
        if (gatekeeper != null) {
            gatekeeper.beginShutdown();
            gatekeeperThread.join();
            gatekeeper.close();
        }
    }

    private void playStep(String line) throws Exception {
        String[] parts = line.split(" ", 3);
        String party = parts[0];
        String rest = parts.length > 2 ? parts[2] : "";
        if (parts[1].equals("crowd")) {
            for (int i = 0; i < Integer.parseInt(rest); i++) {
                for (String step : List.of("> GET /healthz HTTP/1.1", "> ", "< HTTP/1.1 200 *", "skip", "<< ready")) {
                    playStep(party + i + ' ' + step);
                }
            }
        } else if (parts[1].equals("silent")) {
            for (int i = 0; i < Integer.parseInt(rest); i++) {
                socket(party + i);
            }
        } else if (party.equals("node")) {
            if (parts[1].equals("leave")) {
                gatekeeper.beginShutdown();
            } else if (parts[1].equals("warm")) {
                mayWarmUp.countDown();
                warmUpThread.join();
            } else if (parts[1].equals("reload")) {
                gatekeeper.reload(() ->
                        loadConfiguration(read(withReplacement(config, withAddresses(rest))), settings.toString()));
            } else if (parts[1].equals("settle")) {
                gatekeeper.reload(() -> loadConfiguration(read(config), withAddresses(rest)));
            } else if (parts[1].equals("deaf")) { // the wait only gives a faulty gatekeeper time to start listening
                assertTrue("the gatekeeper already listens", !gatekeeper.isListeningWithin(200));
            } else if (parts[1].equals("log")) {
                assertMatches(rest, String.join("|", log));
            } else {
                gatekeeperThread.join(TIMEOUT_MILLIS);
                assertTrue("the gatekeeper is still running", !gatekeeperThread.isAlive());
            }
        } else if (datagrams.containsKey(party)) {
            playDatagramStep(datagrams.get(party), parts[1], rest);
        } else {
            switch (parts[1]) {
                case ">" -> send(party, rest + "\r\n");
                case ">>" -> send(party, rest.replace("\\r\\n", "\r\n"));
                case "bytes" -> {
                    for (char piece : rest.replace("\\r\\n", "\r\n").toCharArray()) {
                        send(party, String.valueOf(piece));
                    }
                }
                case "fill" -> send(party, "x".repeat(Integer.parseInt(rest)));
                case "<" -> assertMatches(rest, readLine(socket(party)));
                case "<<" ->
                    assertMatches(
                            rest,
                            new String(
                                    socket(party).getInputStream().readNBytes(rest.length()), StandardCharsets.UTF_8));
                case "take" ->
                    assertEquals(
                            Integer.parseInt(rest),
                            socket(party).getInputStream().readNBytes(Integer.parseInt(rest)).length);
                case "cut" -> {
                    int limit = Integer.parseInt(rest);
                    assertTrue("the connection did not end early", countBytesUntilClosed(socket(party), limit) < limit);
                }
                case "counts" -> awaitMetric(rest);
                case "skip" -> {
                    while (!readLine(socket(party)).isEmpty()) {
                        // reads to the end of the header
                    }
                }
                case "accept" -> sockets.put(party, listeners.get(party).accept());
                case "answers" -> {
                    String body = withAddresses(rest);
                    send(party, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                }
                case "connect" -> socket(party);
                case "refuse" -> listeners.get(party).close();
                case "refused" -> awaitConnectionRefused();
                case "end" -> socket(party).shutdownOutput();
                case "reset" -> {
                    socket(party).setSoLinger(true, 0);
                    socket(party).close();
                }
                default -> fail("unknown step: " + line);
            }
        }
    }

    private Socket socket(String party) throws Exception {
        Socket socket = sockets.get(party);
        if (socket == null) {
            socket = listeners.containsKey(party) ? listeners.get(party).accept() : new Socket();
            if (!socket.isConnected()) {
                socket.connect(
                        party.startsWith("x")
                                ? gatekeeper.awaitRegionAddress()
                                : party.startsWith("o") ? gatekeeper.adminAddress() : gatekeeper.awaitListening());
            }
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            sockets.put(party, socket);
        }
        return socket;
    }

    /** Reads up to {@code limit} bytes or until the connection is closed or reset; returns the number of bytes read. */
    private static int countBytesUntilClosed(Socket socket, int limit) throws IOException {
        int count = 0;
        try {
            while (count < limit && socket.getInputStream().read() >= 0) {
                count++;
            }
        } catch (SocketException e) {
            return count;
        }
        return count;
    }

    /** Polls the admin server until its metrics contain this line. */
    private void awaitMetric(String line) throws Exception {
        long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
        String text = "";
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(gatekeeper.adminAddress(), TIMEOUT_MILLIS);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream().write("vars\r\n".getBytes(StandardCharsets.UTF_8));
                text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
            if (text.lines().anyMatch(line::equals)) {
                return;
            }
        }
        fail("expected the metric line " + line + " but received " + text);
    }

    /** Connects repeatedly until the gatekeeper no longer accepts connections. */
    private void awaitConnectionRefused() throws Exception {
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(gatekeeper.awaitListening(), TIMEOUT_MILLIS);
            } catch (SocketException e) {
                return; // refused, or reset while the listener was being closed
            }
        }
    }

    private void send(String party, String text) throws Exception {
        socket(party).getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void playDatagramStep(DatagramSocket socket, String step, String rest) throws IOException {
        if (step.equals("<")) {
            socket.receive(new DatagramPacket(new byte[512], 512));
        } else {
            byte[] bytes =
                    (step.equals("fill") ? "x".repeat(Integer.parseInt(rest)) : rest).getBytes(StandardCharsets.UTF_8);
            socket.send(new DatagramPacket(bytes, bytes.length, peerListen));
        }
    }

    private static String readLine(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder line = new StringBuilder();
        try {
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return line.isEmpty() ? "EOF" : line.toString();
                }
                line.append((char) next);
            }
        } catch (SocketException e) {
            return "EOF"; // a reset also counts as the end of the connection
        }
        return line.toString().stripTrailing();
    }

    private static void assertMatches(String pattern, String line) {
        String regex = Stream.of(pattern.split("\\*", -1))
                .map(Pattern::quote)
                .reduce((left, right) -> left + ".*" + right)
                .orElse("");
        assertTrue("expected '" + pattern + "' but was '" + line + "'", line.matches(regex));
    }
}
