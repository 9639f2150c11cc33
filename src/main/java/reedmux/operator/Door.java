package reedmux.operator;

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
 * The operators' listener: each connection brings one line and takes one answer. It has a thread of its own
 * that does nothing else, so that no work of the gatekeeper's can hold an answer up. Descriptors and memory
 * are bounded: of more connections than {@link #MOST} the one that has been silent the longest gives way.
 */
public final class Door implements AutoCloseable {
    /** Connections open at once. */
    public static final int MOST = 24;
    /** Bytes of a line, its end included; no call is nearly as long. */
    static final int LONGEST = 128;

    private static final long PATIENCE = TimeUnit.SECONDS.toNanos(10);
    private static final long LOOK_MILLIS = 1_000;
    private static final int QUEUE = 64;

    private final ServerSocketChannel server;
    private final Selector selector;
    private final UnaryOperator<String> calls;
    private final Consumer<String> log;
    /** Those that came first in front; the thread's own. */
    private final Deque<Caller> callers = new ArrayDeque<>();

    /** Listens at once; {@code calls} gives the answer to a line, or to null for a line that is none. */
    public Door(InetSocketAddress at, UnaryOperator<String> calls, Consumer<String> log) throws IOException {
        this.calls = calls;
        this.log = log;
        selector = Selector.open();
        server = ServerSocketChannel.open();
        try {
            server.socket().setReuseAddress(true);
            server.bind(at, QUEUE);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            close();
            throw new IOException("operator: cannot listen on " + at + ": " + e.getMessage(), e);
        }
        Thread thread = new Thread(this::run, "reedmux-operator");
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) server.getLocalAddress();
    }

    private void run() {
        try {
            while (server.isOpen()) {
                selector.select(callers.isEmpty() ? 0 : LOOK_MILLIS);
                if (!server.isOpen()) {
                    break;
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept();
                    } else if (key.isValid()) {
                        ((Caller) key.attachment()).goOn();
                    }
                }
                selector.selectedKeys().clear();
                long now = System.nanoTime();
                for (Caller caller : new ArrayList<>(callers)) {
                    if (now - caller.since > PATIENCE) {
                        caller.close();
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            if (server.isOpen()) {
                log.accept("operator: the door has ended: " + e);
            }
        } finally {
            new ArrayList<>(callers).forEach(Caller::close);
        }
    }

    private void accept() throws IOException {
        SocketChannel channel;
        try {
            channel = server.accept();
        } catch (IOException e) { // no descriptor is left just now, or it has gone again
            log.accept("operator: cannot accept: " + e.getMessage());
            if (!callers.isEmpty()) {
                callers.peek().close();
            }
            return;
        }
        if (channel == null) {
            return;
        }
        if (callers.size() >= MOST) {
            callers.peek().close();
        }
        Caller caller = new Caller(channel);
        callers.add(caller);
        try {
            channel.configureBlocking(false);
            caller.key = channel.register(selector, SelectionKey.OP_READ, caller);
        } catch (IOException e) {
            caller.close();
        }
    }

    /** One connection: its line, then its answer, then a look for the other side's end. */
    private final class Caller {
        private final SocketChannel channel;
        private final ByteBuffer in = ByteBuffer.allocate(LONGEST);
        private final long since = System.nanoTime();
        private SelectionKey key;
        private ByteBuffer answer;
        private boolean said;

        Caller(SocketChannel channel) {
            this.channel = channel;
        }

        /** Whatever goes wrong here is this caller's alone. */
        void goOn() {
            try {
                if (answer == null) {
                    listen();
                }
                if (answer != null && !said) {
                    speak();
                } else if (said) {
                    if (channel.read(in.clear()) < 0) {
                        close();
                    }
                }
            } catch (IOException | RuntimeException e) {
                close();
            }
        }

        private void listen() throws IOException {
            boolean over = channel.read(in) < 0;
            int end = 0;
            while (end < in.position() && in.get(end) != '\n') {
                end++;
            }
            if (end < in.position()) {
                int length = end > 0 && in.get(end - 1) == '\r' ? end - 1 : end;
                answer = bytes(calls.apply(new String(in.array(), 0, length, StandardCharsets.ISO_8859_1)));
            } else if (!in.hasRemaining()) {
                answer = bytes(OperatorCalls.refusal("the line is over " + LONGEST + " bytes"));
            } else if (over && in.position() > 0) {
                answer = bytes(OperatorCalls.refusal("the line has no end"));
            } else if (over) {
                close();
            }
        }

        private ByteBuffer bytes(String text) {
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
        }

        private void speak() throws IOException {
            channel.write(answer);
            if (answer.hasRemaining()) {
                key.interestOps(SelectionKey.OP_WRITE);
                return;
            }
            said = true;
            channel.shutdownOutput();
            key.interestOps(SelectionKey.OP_READ); // closed with bytes unread, the answer could be lost
        }

        void close() {
            callers.remove(this);
            try {
                channel.close();
            } catch (IOException e) {
                log.accept("operator: a connection could not be closed: " + e.getMessage());
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (server != null) {
            server.close();
        }
        selector.close();
    }
}
