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
 * Accepts consumers' connections as long as there is room for them; those beyond wait in the system's queue,
 * where they cost no descriptor, until others have been closed. At the end it first accepts what waits there:
 * a socket that is closed with connections in its queue resets them.
 */
public final class ConnectionAcceptor implements AutoCloseable {
    /** Connections that may wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 512;

    private static final long RETRY_DELAY_MILLIS = 50;

    private final ServerSocketChannel server;
    private final Selector selector;
    private final DefaultListeningIOReactor reactor;
    private final Semaphore connectionPermits;
    private final Consumer<String> log;
    private volatile boolean closing;

    /**
     * Listens at once.
     *
     * @param shared whether another process may listen there too, as one that takes our place does
     * @param room   has a permit for each connection that there is still room for
     */
    public ConnectionAcceptor(
            SocketAddress listen,
            boolean shared,
            DefaultListeningIOReactor reactor,
            Semaphore room,
            Consumer<String> log)
            throws IOException {
        this.reactor = reactor;
        this.connectionPermits = room;
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
            log.accept("accepting has ended: " + e);
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
            boolean used = false;
            try {
                SocketChannel accepted = server.accept();
                if (accepted == null) {
                    return;
                }
                AcceptedChannels.hand(reactor, accepted);
                used = true;
            } catch (IOException | RuntimeException e) { // no descriptor left, or gone before its turn
                log.accept("cannot accept: " + e.getMessage());
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
                if (closing) {
                    return;
                }
            } finally {
                if (!used) {
                    connectionPermits.release();
                }
            }
        }
    }

    /** Has the thread that accepts take what waits, and then close; returns at once. */
    @Override
    public void close() {
        closing = true;
        selector.wakeup();
    }
}
