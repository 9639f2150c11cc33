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

/** An HTTP server on a free loopback port, with one thread per connection, that can be stopped and restarted. */
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

    /** Returns the address that the server listens on, which stays the same after a restart. */
    final InetSocketAddress address() {
        return address;
    }

    /** Returns the address that the server listens on, in the form {@code host:port}. */
    public final String hostPort() {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    private void startAccepting(ServerSocket serverSocket) {
        acceptThread = startThread("stand-in", () -> {
            while (true) {
                try {
                    Socket accepted = serverSocket.accept();
                    accepted.setTcpNoDelay(true);
                    openSockets.add(accepted);
                    startThread("stand-in-connection", () -> serve(accepted));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** Starts a daemon thread with the given name and returns it. */
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
            // the peer may close or reset the connection at any time
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openSockets.remove(socket);
        }
    }

    /**
     * Handles one request, of which only the header has been read.
     *
     * @return whether the connection stays open for further requests
     */
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

    /** Closes a connection with a TCP reset (RST) by setting a linger time of 0. */
    static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            return; // the socket is already closed
        }
        socket.close();
    }

    static String header(HttpMessage message, String name) {
        Header header = message.getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    /** Stops the server as if its process had died: resets open connections and refuses new ones. */
    public final void goDown() throws IOException {
        listener.close();
        try {
            acceptThread.join(); // the operating system keeps the port in use while a thread is blocked in accept
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : openSockets) {
            reset(socket);
        }
    }

    /** Restarts the server at the same address. */
    public final void comeUp() throws IOException {
        ServerSocket newListener = new ServerSocket();
        newListener.setReuseAddress(true);
        newListener.bind(address, ACCEPT_BACKLOG);
        listener = newListener;
        startAccepting(newListener);
    }

    @Override
    public final void close() throws IOException {
        goDown();
    }
}
