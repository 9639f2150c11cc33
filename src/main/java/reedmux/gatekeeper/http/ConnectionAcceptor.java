package reedmux.gatekeeper.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.AcceptedChannels;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;

/**
 * Accepts connections while connection permits are available. Further connections wait in the operating system's
 * backlog, where they need no file descriptor. Before it closes the socket it accepts the whole backlog, since
 * connections in the backlog of a closed socket are reset.
 */
public final class ConnectionAcceptor implements AutoCloseable {
    /** Maximum number of connections that the operating system queues until they are accepted. */
    private static final int ACCEPT_BACKLOG = 512;

    /** Waiting time for a permit, and pause after a failed attempt to accept. */
    private static final long RETRY_DELAY_MILLIS = 50;

    private final ServerSocketChannel server;
    private final Selector selector;
    private final DefaultListeningIOReactor reactor;
    private final Semaphore connectionPermits;
    private final Consumer<String> log;
    private volatile boolean closing;

    /**
     * Opens the listening socket and starts the accepting thread.
     *
     * @param shared            whether other processes may listen on the same address, such as the one that replaces
     *                          this process
     * @param connectionPermits one permit is acquired for each accepted connection
     */
    public ConnectionAcceptor(
            SocketAddress listen,
            boolean shared,
            DefaultListeningIOReactor reactor,
            Semaphore connectionPermits,
            Consumer<String> log)
            throws IOException {
        this.reactor = reactor;
        this.connectionPermits = connectionPermits;
        this.log = log;
        selector = Selector.open();
        server = ServerSocketChannel.open();
        try {
            server.socket().setReuseAddress(true);
            if (shared && server.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
                server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            server.bind(listen, ACCEPT_BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            server.close();
            selector.close();
            throw e;
        }
        Thread thread = new Thread(this::acceptUntilClosed, "reedmux-accept");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the local address of the listening socket. */
    public SocketAddress address() throws IOException {
        return server.getLocalAddress();
    }

    private void acceptUntilClosed() {
        try (selector;
                server) {
            while (!closing) {
                selector.select();
                selector.selectedKeys().clear();
                acceptAll();
            }
            acceptAll();
        } catch (IOException e) {
            log.accept("the connection acceptor stopped: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptAll() throws InterruptedException {
        while (true) {
            if (!connectionPermits.tryAcquire(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)) {
                if (closing) {
                    return;
                }
                continue;
            }
            boolean permitUsed = false;
            try {
                SocketChannel accepted = server.accept();
                if (accepted == null) {
                    return;
                }
                AcceptedChannels.hand(reactor, accepted);
                permitUsed = true;
            } catch (IOException | RuntimeException e) { // no file descriptor is left, or the client has gone away
                log.accept("cannot accept: " + e.getMessage());
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
                if (closing) {
                    return;
                }
            } finally {
                if (!permitUsed) {
                    connectionPermits.release();
                }
            }
        }
    }

    /** Makes the accepting thread accept the backlog and close the socket; does not wait for completion. */
    @Override
    public void close() {
        closing = true;
        selector.wakeup();
    }
}
