package reedmux.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.settings.OperatorSettings;

/**
 * Guards the gatekeeper against what review/4 and review/5 showed of the proxy. Bodies beyond the kernel buffers, with
 * a length or in chunks, go to a provider that reads at once, reads late, or answers early and reads on. Each whole
 * body that it gets must be the one that was sent, each answer must be that of its own request, and both sides keep
 * their connections.
 */
public class GatekeeperUploadTest {
    private static final int CONSUMERS = 4;
    private static final int UPLOADS_PER_CONSUMER = 12;
    private static final int MAX_BODY_BYTES = 9_000_000;
    private static final int CHUNK_BYTES = 50_000;
    private static final int LATE_MILLIS = 300;
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final String END_OF_HEAD = "\r\n\r\n";

    private enum Reading {
        AT_ONCE,
        LATE,
        ANSWERS_EARLY
    }

    private final Map<String, byte[]> sentBodies = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger wholeBodies = new AtomicInteger();
    private final AtomicInteger reusedProviderConnections = new AtomicInteger();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private GatekeeperProcess gatekeeper;
    private Thread gatekeeperThread;

    @Test
    public void bodiesArriveWholeAndConnectionsCarryOneRequestAtATime() throws Exception {
        int port = startGatekeeper(startProvider());
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
            int number = i;
            consumers.add(startThread(() -> upload(port, number)));
        }
        for (Thread consumer : consumers) {
            consumer.join(TimeUnit.MINUTES.toMillis(2));
            assertTrue(!consumer.isAlive(), "a consumer waits for an answer");
        }
        assertEquals(String.join("; ", violations), "");
        assertTrue(wholeBodies.get() >= CONSUMERS * UPLOADS_PER_CONSUMER / 2, wholeBodies + " whole bodies");
        assertTrue(reusedProviderConnections.get() > 0, "no connection to the provider was reused");
    }

    @AfterMethod
    public void end() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        if (gatekeeper != null) {
            gatekeeper.beginShutdown();
            gatekeeperThread.join();
            gatekeeper.close();
        }
    }

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private ServerSocket listen() throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        resources.add(listener);
        return listener;
    }

    private int startGatekeeper(ServerSocket provider) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        String config = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + '"')
                .replace("${d}", "127.0.0.1:" + listen().getLocalPort())
                .replace("${p1}", "127.0.0.1:" + provider.getLocalPort())
                .replace("[\"$node\",\"$u1\"],\"peers_all\":\"$u1\"", "[\"127.0.0.1:0\"],\"peers_all\":\"127.0.0.1:0\"")
                .replace("$node", "127.0.0.1:0")
                .replace("\"refill\":9.7,\"mostAtOnce\":32.0", "\"refill\":1000.0,\"mostAtOnce\":1000.0")
                .replace("\"deadlineUs\":4000000", "\"deadlineUs\":20000000");
        MonotonicClock clock = new MonotonicClock();
        gatekeeper = new GatekeeperProcess(
                LoadedConfiguration.of(
                        GatekeeperConfig.read(config.getBytes(StandardCharsets.UTF_8), Map.of(), clock),
                        OperatorSettings.parse("own.star", ""),
                        Path.of("own.star"),
                        clock),
                clock,
                line -> {});
        gatekeeperThread = startThread(() -> {
            try {
                gatekeeper.run();
            } catch (IOException | InterruptedException | RuntimeException e) {
                violations.add("the gatekeeper ended: " + e);
            }
        });
        gatekeeper.awaitListening();
        return port;
    }

    // ---- The consumers -----------------------------------------------------------------------------

    private void upload(int port, int consumer) {
        Random random = new Random(consumer);
        Socket socket = null;
        try {
            for (int i = 0; i < UPLOADS_PER_CONSUMER; i++) {
                if (socket == null) {
                    socket = new Socket("127.0.0.1", port);
                    socket.setSoTimeout(TIMEOUT_MILLIS);
                }
                String traceId = String.format("%08x%08x", consumer + 1, i + 1);
                byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
                random.nextBytes(body);
                sentBodies.put(traceId, body);
                if (!send(socket, traceId, body, random.nextBoolean())) {
                    socket.close();
                    socket = null;
                }
            }
            if (socket != null) {
                socket.close();
            }
        } catch (IOException | InterruptedException e) {
            violations.add("consumer " + consumer + ": " + e);
        }
    }

    /** Sends a request while its answer is read; returns whether the connection carries another one. */
    private boolean send(Socket socket, String traceId, byte[] body, boolean chunked)
            throws IOException, InterruptedException {
        Thread writer = startThread(() -> {
            try {
                write(socket, traceId, body, chunked);
            } catch (IOException e) {
                violations.add("the gatekeeper does not read the body of " + traceId + ": " + e);
            }
        });
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String head = readHead(in);
        String text = new String(in.readNBytes(contentLength(head)), StandardCharsets.ISO_8859_1);
        if (!head.startsWith("HTTP/1.1 200 ") || !text.equals(traceId)) {
            violations.add(traceId + " got " + head.lines().findFirst().orElse("nothing") + ' ' + text);
        }
        writer.join();
        return !head.contains("Connection: close");
    }

    private static void write(Socket socket, String traceId, byte[] body, boolean chunked) throws IOException {
        OutputStream out = new BufferedOutputStream(socket.getOutputStream());
        out.write(("POST /reject HTTP/1.1\r\nHost: g\r\nX-Trace-Id: " + traceId + "\r\nX-Plan: full-plant\r\n"
                        + "X-Customer: 0000000000000007\r\nX-Expires-In-Ms: 20000\r\n"
                        + "X-Quota: units=1,spread=1,first=0\r\n"
                        + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length) + END_OF_HEAD)
                .getBytes(StandardCharsets.ISO_8859_1));
        if (!chunked) {
            out.write(body);
        } else {
            for (int start = 0; start < body.length; start += CHUNK_BYTES) {
                int length = Math.min(CHUNK_BYTES, body.length - start);
                out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(body, start, length);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(("0" + END_OF_HEAD).getBytes(StandardCharsets.ISO_8859_1));
        }
        out.flush();
    }

    // ---- The provider ------------------------------------------------------------------------------

    private ServerSocket startProvider() throws IOException {
        ServerSocket listener = listen();
        AtomicInteger connections = new AtomicInteger();
        startThread(() -> {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    resources.add(socket);
                    Random random = new Random(connections.incrementAndGet());
                    startThread(() -> serve(socket, random));
                }
            } catch (IOException e) {
                // the test has ended
            }
        });
        return listener;
    }

    private void serve(Socket socket, Random random) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int requests = 0; ; requests++) {
                String head = readHead(in);
                if (!head.startsWith("POST /reject HTTP/1.1\r\n")) {
                    violations.add("UNASKED: " + head.lines().findFirst().orElse("nothing"));
                    return;
                }
                reusedProviderConnections.addAndGet(requests == 1 ? 1 : 0);
                serveRequest(socket, in, head, Reading.values()[random.nextInt(Reading.values().length)]);
            }
        } catch (IOException e) {
            // the gatekeeper may close a connection at any time; a body that it does not send whole is not run
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveRequest(Socket socket, InputStream in, String head, Reading reading)
            throws IOException, InterruptedException {
        String traceId = header(head, "X-Trace-Id");
        if (reading == Reading.ANSWERS_EARLY) {
            answer(socket, traceId);
        }
        if (reading != Reading.AT_ONCE) {
            TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
        }
        byte[] body = readBody(in, head);
        wholeBodies.incrementAndGet();
        if (!Arrays.equals(body, sentBodies.get(traceId))) {
            violations.add("UNASKED: the body of " + traceId + " came as " + body.length + " other bytes");
        }
        if (reading != Reading.ANSWERS_EARLY) {
            answer(socket, traceId);
        }
    }

    private static void answer(Socket socket, String traceId) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + traceId.length() + END_OF_HEAD + traceId)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    // ---- Messages ----------------------------------------------------------------------------------

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < END_OF_HEAD.length()
                || !head.substring(head.length() - END_OF_HEAD.length()).equals(END_OF_HEAD)) {
            head.append(readLine(in)).append("\r\n");
        }
        return head.toString();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the input ended");
            } else if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private byte[] readBody(InputStream in, String head) throws IOException {
        if (header(head, "Transfer-Encoding").isEmpty()) {
            return readFully(in, contentLength(head));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int length = readChunkSize(in); length > 0; length = readChunkSize(in)) {
            body.write(readFully(in, length));
            readLine(in);
        }
        readLine(in);
        return body.toByteArray();
    }

    private int readChunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        try {
            return Integer.parseInt(line, 16);
        } catch (NumberFormatException e) {
            violations.add("UNASKED: in place of a chunk: " + line);
            throw new IOException(e);
        }
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the input ended");
        }
        return bytes;
    }

    private static int contentLength(String head) {
        return Integer.parseInt("0" + header(head, "Content-Length"));
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, name + ": ", 0, name.length() + 2))
                .map(line -> line.substring(name.length() + 2))
                .findFirst()
                .orElse("");
    }
}
