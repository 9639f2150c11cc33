package reedmux.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.AcceptedChannels;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;

/**
 * Accepts consumers' connections as long as there is room for them; those beyond wait in the system's queue,
 * where they cost no descriptor, until others have been closed.
 */
public final class Acceptor implements AutoCloseable {
    /** Connections that may wait to be accepted. */
    private static final int QUEUE = 512;
    private static final long PAUSE_MILLIS = 50;

    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final DefaultListeningIOReactor reactor;
    private final Semaphore room;
    private final Consumer<String> log;

    /** {@code room} has a permit for each connection that there is still room for. */
    public Acceptor(SocketAddress listen, DefaultListeningIOReactor reactor, Semaphore room,
                    Consumer<String> log) throws IOException {
        this.reactor = reactor;
        this.room = room;
        this.log = log;
        server.socket().setReuseAddress(true);
        try {
            server.bind(listen, QUEUE);
        } catch (IOException e) {
            server.close();
            throw e;
        }
        Thread thread = new Thread(this::run, "reedmux-accept");
        thread.setDaemon(true);
        thread.start();
    }

    public SocketAddress address() throws IOException {
        return server.getLocalAddress();
    }

    private void run() {
        try {
            while (server.isOpen()) {
                room.acquire();
                try {
                    SocketChannel accepted = server.accept();
                    AcceptedChannels.hand(reactor, accepted);
                } catch (ClosedChannelException e) {
                    return;
                } catch (IOException | RuntimeException e) { // no descriptor left, or gone before its turn
                    room.release();
                    log.accept("cannot accept: " + e.getMessage());
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
