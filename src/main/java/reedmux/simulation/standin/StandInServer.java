package reedmux.simulation.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/** An HTTP server on a free loopback port, one thread a connection, that can be closed and opened again. */
public abstract class StandInServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 512;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private volatile ServerSocket listener;
    private volatile Thread acceptThread;

    StandInServer() throws IOException {
        listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getByName("127.0.0.1"));
        address = (InetSocketAddress) listener.getLocalSocketAddress();
        startAccepting(listener);
    }

    /** Where it listens; the same when it is opened again. */
    final InetSocketAddress address() {
        return address;
    }

    /** The address that it listens on, as host and port. */
    public final String hostPort() {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    private void startAccepting(ServerSocket on) {
        acceptThread = startThread("stand-in", () -> {
            while (true) {
                try {
                    Socket accepted = on.accept();
                    accepted.setTcpNoDelay(true);
                    openSockets.add(accepted);
                    startThread("stand-in-connection", () -> serve(accepted));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** Starts a daemon thread. */
    public static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(Socket socket) {
        try (DefaultBHttpServerConnection connection = new DefaultBHttpServerConnection("http", Http1Config.DEFAULT)) {
            connection.bind(socket);
            ClassicHttpRequest request = connection.receiveRequestHeader();
            while (request != null && handle(socket, connection, request)) {
                request = connection.receiveRequestHeader();
            }
        } catch (IOException | HttpException e) {
            // the other side has gone, which is one of the things that it may do
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openSockets.remove(socket);
        }
    }

    /** Serves one request, of which only the head has been read; returns whether the connection lives on. */
    abstract boolean handle(Socket socket, DefaultBHttpServerConnection connection, ClassicHttpRequest request)
            throws IOException, HttpException, InterruptedException;

    static byte[] readBody(DefaultBHttpServerConnection connection, ClassicHttpRequest request)
            throws IOException, HttpException {
        connection.receiveRequestEntity(request);
        return request.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(request.getEntity());
    }

    static ClassicHttpResponse response(int status, byte[] body) {
        ClassicHttpResponse response = new BasicClassicHttpResponse(status);
        response.setEntity(new ByteArrayEntity(body, ContentType.TEXT_PLAIN));
        response.setHeader("Content-Length", body.length);
        return response;
    }

    static void send(DefaultBHttpServerConnection connection, ClassicHttpResponse response)
            throws IOException, HttpException {
        connection.sendResponseHeader(response);
        connection.sendResponseEntity(response);
        connection.flush();
    }

    /** Ends a connection with a reset. */
    static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            return; // it has ended by itself meanwhile
        }
        socket.close();
    }

    static String header(HttpMessage message, String name) {
        Header header = message.getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    /** Goes away as a process does: connections are reset, new ones refused. */
    public final void goDown() throws IOException {
        listener.close();
        try {
            acceptThread.join(); // the system keeps the port for as long as a thread waits in accept
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : openSockets) {
            reset(socket);
        }
    }

    /** Comes back at the same address. */
    public final void comeUp() throws IOException {
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(address, ACCEPT_BACKLOG);
        listener = again;
        startAccepting(again);
    }

    @Override
    public final void close() throws IOException {
        goDown();
    }
}
