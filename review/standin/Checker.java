import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** A sound checker: sends beats, works on requests in its slots, and answers with id and seal. */
final class Checker {
    final String id;
    private final Random random = new Random();
    private final Lab lab;
    private final String service;
    private final String zone;
    private final int capacity;
    private final int workMs;
    private final int answerBytes;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean beats = true;
    private volatile boolean ended;
    private long sequence;
    /** The share of answers that are spoilt while the checker is in trouble. */
    volatile double spoiltShare;
    /** The ids of the requests whose answers were spoilt. */
    final Set<String> spoilt = ConcurrentHashMap.newKeySet();
    /** When each request arrived here, by its id. */
    final Map<String, Long> arrivals = new ConcurrentHashMap<>();

    Checker(Lab lab, String id, String service, String zone, String ip, int capacity, int workMs, int answerBytes)
            throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.capacity = capacity;
        this.workMs = workMs;
        this.answerBytes = answerBytes;
        slots = new Semaphore(capacity);
        listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
        daemon(this::accept);
        daemon(this::sendBeats);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private String address() {
        return listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort();
    }

    // ---- Calls to the registries -------------------------------------------------------------------

    private void sendBeats() {
        int next = Math.floorMod(id.hashCode(), lab.core.size());
        while (!ended) {
            String body = "{\"plant\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                    + "\",\"revision\":\"v1\",\"capacity\":" + capacity + ",\"phase\":\"ready\",\"coldLeftMs\":0,"
                    + "\"seq\":" + (++sequence) + "}";
            for (int i = 0; i < lab.core.size() && beats; i++) {
                if (call(next, "/v1/Instances.Heartbeat/" + id, body) / 100 == 2) {
                    break;
                }
                next = (next + 1) % lab.core.size();
            }
            try {
                Thread.sleep(1500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private int call(int machine, String path, String body) {
        try {
            return Http.call(lab.control(lab.core.get(machine)), "POST", path, body, 1000);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends Instances.Leave until it is acknowledged; no more beats from then on. Returns when that was. */
    long leave() throws InterruptedException {
        beats = false;
        Thread.sleep(200); // a beat that is under way has its answer by then
        for (int machine = 0; ; machine = (machine + 1) % lab.core.size()) {
            if (call(machine, "/v1/Instances.Leave/" + id, "") / 100 == 2) {
                long at = lab.now();
                lab.note(id + ": Instances.Leave acknowledged by " + lab.core.get(machine).name);
                return at;
            }
            Thread.sleep(50);
        }
    }

    /** Ends at once. */
    void end() {
        ended = true;
        beats = false;
        try {
            listener.close();
            for (Socket socket : connections) {
                socket.close();
            }
        } catch (IOException e) {
            lab.note(id + ": " + e);
        }
        lab.note(id + ": ends");
    }

    // ---- Requests ----------------------------------------------------------------------------------

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.readHead(in); request != null; request = Http.readHead(in)) {
                String attempt = request.headers.get("Reedmux-Attempt-Id");
                if (attempt != null) {
                    arrivals.put(attempt, lab.now());
                }
                request.body = Http.readBody(in, request);
                String target = request.headers.get("Reedmux-Target-Instance");
                if (attempt == null) {
                    answer(out, "400 Bad Request", "Reedmux-Not-Executed: 1\r\n", new byte[0]);
                } else if (target != null && !target.equals(id)) {
                    answer(out, "421 Misdirected Request", "Reedmux-Instance-Id: " + id + "\r\n", new byte[0]);
                } else {
                    slots.acquire();
                    lab.note(id + ": runs " + attempt + " " + request.firstLine + ", tenant "
                            + request.headers.get("Reedmux-Tenant") + ", body " + request.body.length);
                    Thread.sleep(workMs);
                    slots.release();
                    if (random.nextDouble() < spoiltShare) {
                        spoilt.add(attempt);
                        lab.note(id + ": spoils its answer to " + attempt);
                        spoil(out, attempt);
                        return;
                    }
                    answer(out, "200 OK", "Reedmux-Attempt-Id: " + attempt + "\r\nReedmux-Server-Seal: " + id + "."
                            + attempt + "\r\n", new byte[answerBytes]);
                }
            }
        } catch (IOException e) {
            // the caller has gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    /** An answer that does not end: it keeps coming until the caller closes the connection. */
    private void spoil(OutputStream out, String attempt) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attempt + "\r\nReedmux-Server-Seal: " + id + "." + attempt
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        byte[] size = "2000\r\n".getBytes(StandardCharsets.ISO_8859_1);
        byte[] chunk = new byte[0x2000 + 2];
        chunk[0x2000] = '\r';
        chunk[0x2001] = '\n';
        for (long sent = 0; sent < 3_000_000_000L; sent += 0x2000) {
            out.write(size);
            out.write(chunk);
        }
    }

    private static void answer(OutputStream out, String status, String headers, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        out.write(message);
        out.flush();
    }
}
