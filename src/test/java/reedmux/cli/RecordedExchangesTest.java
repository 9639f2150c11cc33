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
 * Plays the recorded exchanges in {@code src/test/resources/exchanges} against the program, line by line.
 * A line names a party and what it does: {@code >} sends a line, {@code >>} sends all at one go and without
 * a line's end, {@code answers} sends a whole answer with this body,
 * {@code bytes} sends each byte by itself,
 * {@code <} expects a line, in which {@code *} stands for anything, {@code <<} expects just these bytes,
 * {@code crowd} has so many consumers ask for health and stay, {@code silent} so many say nothing,
 * {@code take} reads so many bytes, {@code cut} fewer than so many and then the end,
 * {@code skip} reads on to the end of a head, {@code node log} compares what was logged,
 * {@code node deaf} finds that consumers cannot connect yet,
 * {@code counts} waits for a figure at the operators' door, as a call is counted by another thread than the
 * one whose bytes a provider sees.
 * c1, c2 are consumers, p1, p2 providers, d, d2 are discovery, u1 a peer, r1, r2 gateways of another region,
 * o1 an operator at the door, x1 a gateway that calls our listener for regions. {@code settings} adds a line
 * to the operators' own
 * settings, {@code node settle} reads such a line anew.
 */
@RunWith(Parameterized.class)
public final class RecordedExchangesTest {
    private static final Path FOLDER = Path.of("src/test/resources/exchanges");
    /** No verdict hangs on it: it only ends a test that would otherwise wait for ever. */
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
        InetAddress here = InetAddress.getByName("127.0.0.1");
        for (String name : List.of("p1", "p2", "d", "d2", "r1", "r2")) {
            listeners.put(name, new ServerSocket(0, 50, here));
            listeners.get(name).setSoTimeout(TIMEOUT_MILLIS);
        }
        for (String name : List.of("u1", "u2", "node")) {
            datagrams.put(name, new DatagramSocket(new InetSocketAddress(here, 0)));
            datagrams.get(name).setSoTimeout(TIMEOUT_MILLIS);
        }
        try (DatagramSocket free = datagrams.remove("node")) {
            peerListen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        config = withAddresses(Files.readString(FOLDER.resolve("config.json")));
        int number = 0;
        try {
            for (String line : Files.readAllLines(FOLDER.resolve(script))) {
                number++;
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
            throw new AssertionError(script + ':' + number + ": " + e.getMessage(), e);
        } finally {
            end();
        }
        assertEquals(List.of(), crashes);
    }

    /** Puts in the addresses of the parties that a text names. */
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
            fail("was taken: " + line);
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
        boolean waits = script.startsWith("first-list");
        if (waits) {
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
        if (!waits) {
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
            } else if (parts[1].equals("deaf")) { // the time only lets a mistake show itself
                assertTrue("listens already", !gatekeeper.isListeningWithin(200));
            } else if (parts[1].equals("log")) {
                assertMatches(rest, String.join("|", log));
            } else {
                gatekeeperThread.join(TIMEOUT_MILLIS);
                assertTrue("still running", !gatekeeperThread.isAlive());
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
                    assertTrue("all of it came", countBytesUntilClosed(socket(party), limit) < limit);
                }
                case "counts" -> awaitMetric(rest);
                case "skip" -> {
                    while (!readLine(socket(party)).isEmpty()) {
                        // up to the end of the header
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
                default -> fail("no such step: " + line);
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

    /** Reads until the connection ends in any way, or so many bytes; returns how many came. */
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

    /** Asks the operators' door again and again until this line is among its figures. */
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
        fail("never counted " + line + " but " + text);
    }

    /** Connects again and again until nobody listens any more. */
    private void awaitConnectionRefused() throws Exception {
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(gatekeeper.awaitListening(), TIMEOUT_MILLIS);
            } catch (SocketException e) {
                return; // refused, or reset while the listener was just being closed
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
            return "EOF"; // a reset is an end too
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
