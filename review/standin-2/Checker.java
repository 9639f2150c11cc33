import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A server ("checker") as the users' pages describe it: it beats, serves one request at a time on each connection, echoes
 * the attempt id, adds its seal, and answers 421 to a request for another instance. A case replaces {@link Handler}.
 */
public class Checker implements AutoCloseable {
    /** One request that arrived. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body;

        String id() {
            return headers.get("reedmux-attempt-id");
        }
    }

    /** Serves one request whose head was read; returns whether the connection goes on. */
    interface Handler {
        boolean serve(Checker checker, Request request, Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    final Rig rig;
    final String id;
    final String plant;
    final String zone;
    final ServerSocket listener;
    final Handler handler;
    volatile boolean ended;
    volatile String phase = "ready";
    int capacity = 6;
    private int sequence;
    private int registry;
    private final List<Socket> sockets = new ArrayList<>();

    Checker(Rig rig, String id, String ip, int receiveBuffer, String plant, String zone, Handler handler) throws IOException {
        this.rig = rig;
        this.id = id;
        this.plant = plant;
        this.zone = zone;
        this.handler = handler;
        listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(ip, 0), 200);
        daemon(this::accept);
        daemon(this::beat);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ':' + listener.getLocalPort();
    }

    private void beat() {
        while (!ended) {
            String body = "{\"plant\":\"" + plant + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                    + "\",\"revision\":\"v1\",\"capacity\":" + capacity + ",\"phase\":\"" + phase
                    + "\",\"coldLeftMs\":0,\"seq\":" + ++sequence + '}';
            try {
                int status = Rig.call(Rig.address(rig.control(registry % 3)), "POST", "/v1/Instances.Heartbeat/" + id, body, 1000).status;
                registry += status / 100 == 2 ? 0 : 1;
                Thread.sleep(status / 100 == 2 ? 1500 : 200);
            } catch (IOException e) {
                registry++;
                sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 4096);
            OutputStream out = socket.getOutputStream();
            while (!ended) {
                Request request = readHead(in);
                if (request == null) {
                    return;
                }
                String target = request.headers.get("reedmux-target-instance");
                if (target != null && !target.equals(id)) {
                    Rig.readBody(in, request.headers);
                    answer(out, request, 421, "Reedmux-Not-Executed: 1\r\n", "another instance");
                } else if (!handler.serve(this, request, socket, in, out)) {
                    return;
                }
            }
        } catch (Exception e) {
            if (!ended) {
                rig.note("checker " + id + ": connection ends: " + e);
            }
        }
    }

    static Request readHead(InputStream in) throws IOException {
        String line = Rig.readLine(in);
        if (line == null) {
            return null;
        }
        Request request = new Request();
        String[] parts = line.split(" ");
        if (parts.length != 3) {
            throw new EOFException("no request line: " + line.substring(0, Math.min(60, line.length())));
        }
        request.method = parts[0];
        request.path = parts[1];
        for (line = Rig.readLine(in); line != null && !line.isEmpty(); line = Rig.readLine(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        return request;
    }

    /** Sends an answer with a length, the id and, on success, the seal. */
    void answer(OutputStream out, Request request, int status, String furtherHeaders, String body) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.ISO_8859_1);
        String head = "HTTP/1.1 " + status + " OK\r\nReedmux-Attempt-Id: " + request.id() + "\r\n"
                + (status == 421 || status == 503 ? "" : "Reedmux-Server-Seal: " + id + '.' + request.id() + "\r\n") + furtherHeaders
                + "Content-Length: " + content.length + "\r\n\r\n";
        byte[] bytes = (head + (request.method.equals("HEAD") ? "" : body)).getBytes(StandardCharsets.ISO_8859_1);
        out.write(bytes);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        ended = true;
        listener.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
