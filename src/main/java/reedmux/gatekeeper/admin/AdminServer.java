package reedmux.gatekeeper.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Serves the operators' line protocol: each connection sends one line and receives one reply. The server runs on a
 * thread of its own, so that the gatekeeper's other work cannot delay a reply. File descriptors and memory are bounded:
 * when {@link #MAX_CONNECTIONS} connections are open, the oldest one is closed to admit a new one.
 */
public final class AdminServer implements AutoCloseable {
    /** The maximum number of open connections. */
    public static final int MAX_CONNECTIONS = 24;
    /** The maximum length of a line including its terminator; all commands are much shorter. */
    static final int MAX_LINE_BYTES = 128;

    private static final long CONNECTION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long TIMEOUT_CHECK_MILLIS = 1_000;
    private static final int ACCEPT_BACKLOG = 64;

    private final ServerSocketChannel serverChannel;
    private final Selector selector;
    private final UnaryOperator<String> commandHandler;
    private final Consumer<String> log;
    /** The open connections, oldest first. Accessed only by the server's thread. */
    private final Deque<AdminConnection> connections = new ArrayDeque<>();

    /**
     * Binds the address and starts serving.
     *
     * @param commandHandler returns the reply to a line
     */
    public AdminServer(InetSocketAddress address, UnaryOperator<String> commandHandler, Consumer<String> log)
            throws IOException {
        this.commandHandler = commandHandler;
        this.log = log;
        selector = Selector.open();
        serverChannel = ServerSocketChannel.open();
        try {
            serverChannel.socket().setReuseAddress(true);
            serverChannel.bind(address, ACCEPT_BACKLOG);
            serverChannel.configureBlocking(false);
            serverChannel.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            close();
            throw new IOException("operator: cannot listen on " + address + ": " + e.getMessage(), e);
        }
        Thread thread = new Thread(this::run, "reedmux-operator");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    private void run() {
        try {
            while (serverChannel.isOpen()) {
                selector.select(connections.isEmpty() ? 0 : TIMEOUT_CHECK_MILLIS);
                if (!serverChannel.isOpen()) {
                    break;
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept();
                    } else if (key.isValid()) {
                        ((AdminConnection) key.attachment()).onReady();
                    }
                }
                selector.selectedKeys().clear();
                long now = System.nanoTime();
                for (AdminConnection connection : new ArrayList<>(connections)) {
                    if (now - connection.openedAtNanos > CONNECTION_TIMEOUT_NANOS) {
                        connection.close();
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            if (serverChannel.isOpen()) {
                log.accept("operator: the admin server failed and has stopped: " + e);
            }
        } finally {
            new ArrayList<>(connections).forEach(AdminConnection::close);
        }
    }

    private void accept() throws IOException {
        SocketChannel channel;
        try {
            channel = serverChannel.accept();
        } catch (IOException e) { // out of file descriptors, or the client has already disconnected
            log.accept("operator: cannot accept: " + e.getMessage());
            if (!connections.isEmpty()) {
                connections.peek().close();
            }
            return;
        }
        if (channel == null) {
            return;
        }
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.peek().close();
        }
        AdminConnection connection = new AdminConnection(channel);
        connections.add(connection);
        try {
            channel.configureBlocking(false);
            connection.key = channel.register(selector, SelectionKey.OP_READ, connection);
        } catch (IOException e) {
            connection.close();
        }
    }

    /** Reads a line from one connection, writes the reply and waits until the client closes the connection. */
    private final class AdminConnection {
        private final SocketChannel channel;
        private final ByteBuffer input = ByteBuffer.allocate(MAX_LINE_BYTES);
        private final long openedAtNanos = System.nanoTime();
        private SelectionKey key;
        private ByteBuffer reply;
        private boolean replied;

        AdminConnection(SocketChannel channel) {
            this.channel = channel;
        }

        /** Called when the channel is readable or writable. An error closes only this connection. */
        void onReady() {
            try {
                if (reply == null) {
                    readCommand();
                }
                if (reply != null && !replied) {
                    writeReply();
                } else if (replied) {
                    if (channel.read(input.clear()) < 0) {
                        close();
                    }
                }
            } catch (IOException | RuntimeException e) {
                close();
            }
        }

        private void readCommand() throws IOException {
            boolean inputEnded = channel.read(input) < 0;
            int end = 0;
            while (end < input.position() && input.get(end) != '\n') {
                end++;
            }
            if (end < input.position()) {
                int length = end > 0 && input.get(end - 1) == '\r' ? end - 1 : end;
                reply = encode(commandHandler.apply(new String(input.array(), 0, length, StandardCharsets.ISO_8859_1)));
            } else if (!input.hasRemaining()) {
                reply = encode(AdminCommands.errorReply("the line is over " + MAX_LINE_BYTES + " bytes"));
            } else if (inputEnded && input.position() > 0) {
                reply = encode(AdminCommands.errorReply("the line has no end"));
            } else if (inputEnded) {
                close();
            }
        }

        private ByteBuffer encode(String text) {
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
        }

        private void writeReply() throws IOException {
            channel.write(reply);
            if (reply.hasRemaining()) {
                key.interestOps(SelectionKey.OP_WRITE);
                return;
            }
            replied = true;
            channel.shutdownOutput();
            key.interestOps(SelectionKey.OP_READ); // closing it with unread input would reset the connection
        }

        void close() {
            connections.remove(this);
            try {
                channel.close();
            } catch (IOException e) {
                log.accept("operator: failed to close a connection: " + e.getMessage());
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (serverChannel != null) {
            serverChannel.close();
        }
        selector.close();
    }
}
