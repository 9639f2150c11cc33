package reedmux.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import reedmux.core.Clock;
import reedmux.disk.Folder;
import reedmux.disk.Volume;

/** The machine's own sockets, files and clock. */
public final class Kernel implements Environment {
    private static final int KEEP_IDLE = 2;
    private static final int KEEP_INTERVAL = 1;
    private static final int KEEP_COUNT = 3;
    private final Clock clock = new Clock();
    private final Selector selector;
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();

    public Kernel() throws IOException {
        selector = Selector.open();
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public long draw() {
        return System.nanoTime();
    }

    @Override
    public void execute(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    @Override
    public Runnable next() {
        return posted.poll();
    }

    @Override
    public void await(long until) throws IOException {
        long wait = until - clock.now();
        if (!posted.isEmpty() || wait <= 0) {
            selector.selectNow(Kernel::ready);
        } else if (until == Long.MAX_VALUE) {
            selector.select(Kernel::ready);
        } else {
            selector.select(Kernel::ready, (wait + 999) / 1000);
        }
    }

    private static void ready(SelectionKey key) {
        if (key.isValid()) {
            Handler handler = (Handler) key.attachment();
            try {
                handler.ready((key.readyOps() & ~SelectionKey.OP_WRITE) != 0, key.isWritable());
            } catch (IOException e) {
                handler.failed(e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    @Override
    public Volume volume(Path folder) {
        return new Folder(folder);
    }

    @Override
    public Executor worker(String name, int most) {
        return new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(most), task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private SelectionKey register(SelectableChannel channel, int interest, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    @Override
    public Line open(InetSocketAddress to, InetSocketAddress local) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_IDLE);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_INTERVAL);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_COUNT);
            if (local != null) {
                channel.bind(local);
            }
            channel.configureBlocking(false);
            return new Socket(channel, channel.connect(to));
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e instanceof IOException io ? io : new IOException(e);
        }
    }

    @Override
    public Port listen(InetSocketAddress at, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, backlog);
        return new Server(channel);
    }

    @Override
    public Post post(InetSocketAddress at) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(at);
        return new Box(channel);
    }

    private final class Socket implements Line {
        private final SocketChannel channel;
        private boolean up;
        private SelectionKey key;

        private Socket(SocketChannel channel, boolean up) {
            this.channel = channel;
            this.up = up;
        }

        @Override
        public void handle(Handler handler) throws IOException {
            key = register(channel, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, handler);
        }

        @Override
        public boolean upAtOnce() {
            return up;
        }

        @Override
        public boolean finish() throws IOException {
            up |= channel.finishConnect();
            return up;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            return channel.read(into);
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            return channel.write(from);
        }

        @Override
        public void interest(boolean reads, boolean writes) {
            int wanted = (reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0);
            if (key != null && key.isValid() && key.interestOps() != wanted) {
                key.interestOps(wanted);
            }
        }

        @Override
        public void endOutput() throws IOException {
            channel.shutdownOutput();
        }

        @Override
        public String remote() {
            return String.valueOf(channel.socket().getRemoteSocketAddress()).replace("/", "");
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private final class Server implements Port {
        private final ServerSocketChannel channel;
        private SelectionKey key;

        private Server(ServerSocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public InetSocketAddress address() throws IOException {
            return (InetSocketAddress) channel.getLocalAddress();
        }

        @Override
        public void handle(Handler handler) throws IOException {
            key = register(channel, SelectionKey.OP_ACCEPT, handler);
        }

        @Override
        public Line accept() throws IOException {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return null;
            }
            try {
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException e) {
                // gone before its turn, which its first read tells
            }
            return new Socket(accepted, true);
        }

        @Override
        public void interest(boolean accepts) {
            if (key.isValid()) {
                key.interestOps(accepts ? SelectionKey.OP_ACCEPT : 0);
            }
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private final class Box implements Post {
        private final DatagramChannel channel;

        private Box(DatagramChannel channel) {
            this.channel = channel;
        }

        @Override
        public void handle(Handler handler) throws IOException {
            register(channel, SelectionKey.OP_READ, handler);
        }

        @Override
        public void send(InetSocketAddress to, ByteBuffer bytes) throws IOException {
            channel.send(bytes, to);
        }

        @Override
        public InetSocketAddress receive(ByteBuffer into) throws IOException {
            return (InetSocketAddress) channel.receive(into);
        }
    }
}
