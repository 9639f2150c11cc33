package reedmux.common.eventloop;

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
import reedmux.common.disk.FileSystemVolume;
import reedmux.common.disk.Volume;
import reedmux.common.time.MonotonicClock;

/**
 * Implements {@link Environment} on the operating system's sockets, files and clock, with one {@link Selector}. The
 * tasks of a worker run on that worker's daemon thread; everything else runs on the reactor's thread.
 */
public final class NioEnvironment implements Environment {
    /**
     * Idle time before the first TCP keep-alive probe, in seconds. A connection whose peer has lost power or its
     * network path fails after 2 + 3 * 1 seconds without a packet from the peer.
     */
    private static final int KEEPALIVE_IDLE_SECONDS = 2;

    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 3;
    private final MonotonicClock clock = new MonotonicClock();
    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /** Opens the selector. */
    public NioEnvironment() throws IOException {
        selector = Selector.open();
    }

    @Override
    public long maxMemoryBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public long newIncarnationId() {
        return System.nanoTime();
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    @Override
    public Runnable pollTask() {
        return tasks.poll();
    }

    @Override
    public void awaitReadiness(long deadline) throws IOException {
        long waitMicros = deadline - clock.now();
        if (!tasks.isEmpty() || waitMicros <= 0) {
            selector.selectNow(NioEnvironment::dispatch);
        } else if (deadline == Long.MAX_VALUE) {
            selector.select(NioEnvironment::dispatch);
        } else {
            selector.select(NioEnvironment::dispatch, (waitMicros + 999) / 1000);
        }
    }

    private static void dispatch(SelectionKey key) {
        if (key.isValid()) {
            ReadinessHandler handler = (ReadinessHandler) key.attachment();
            try {
                handler.onReady((key.readyOps() & ~SelectionKey.OP_WRITE) != 0, key.isWritable());
            } catch (IOException e) {
                handler.onFailure(e);
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
        return new FileSystemVolume(folder);
    }

    @Override
    public Executor newWorker(String name, int capacity) {
        return new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(capacity), task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private SelectionKey register(SelectableChannel channel, int interest, ReadinessHandler handler)
            throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    @Override
    public TcpSocket connect(InetSocketAddress remoteAddress, InetSocketAddress localAddress) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEPALIVE_INTERVAL_SECONDS);
            channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
            if (localAddress != null) {
                channel.bind(localAddress);
            }
            channel.configureBlocking(false);
            return new NioTcpSocket(channel, channel.connect(remoteAddress));
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e instanceof IOException io ? io : new IOException(e);
        }
    }

    @Override
    public TcpServerSocket listen(InetSocketAddress address, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, backlog);
        return new NioTcpServerSocket(channel);
    }

    @Override
    public UdpSocket bindDatagram(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(address);
        return new NioUdpSocket(channel);
    }

    private final class NioTcpSocket implements TcpSocket {
        private final SocketChannel channel;
        private boolean connected;
        private SelectionKey key;

        private NioTcpSocket(SocketChannel channel, boolean connected) {
            this.channel = channel;
            this.connected = connected;
        }

        @Override
        public void setHandler(ReadinessHandler handler) throws IOException {
            key = register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, handler);
        }

        @Override
        public boolean isConnectedAtOnce() {
            return connected;
        }

        @Override
        public boolean finishConnect() throws IOException {
            connected |= channel.finishConnect();
            return connected;
        }

        @Override
        public int read(ByteBuffer buffer) throws IOException {
            return channel.read(buffer);
        }

        @Override
        public int write(ByteBuffer buffer) throws IOException {
            return channel.write(buffer);
        }

        @Override
        public void setInterest(boolean reads, boolean writes) {
            int interestOps = (reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0);
            if (key != null && key.isValid() && key.interestOps() != interestOps) {
                key.interestOps(interestOps);
            }
        }

        @Override
        public void shutdownOutput() throws IOException {
            channel.shutdownOutput();
        }

        @Override
        public String remoteAddress() {
            return String.valueOf(channel.socket().getRemoteSocketAddress()).replace("/", "");
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private final class NioTcpServerSocket implements TcpServerSocket {
        private final ServerSocketChannel channel;
        private SelectionKey key;

        private NioTcpServerSocket(ServerSocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public InetSocketAddress localAddress() throws IOException {
            return (InetSocketAddress) channel.getLocalAddress();
        }

        @Override
        public void setHandler(ReadinessHandler handler) throws IOException {
            key = register(channel, SelectionKey.OP_ACCEPT, handler);
        }

        @Override
        public TcpSocket accept() throws IOException {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return null;
            }
            try {
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            } catch (IOException e) {
                // the peer has already reset the connection; the first read will report that
            }
            return new NioTcpSocket(accepted, true);
        }

        @Override
        public void setAcceptEnabled(boolean accepts) {
            if (key.isValid()) {
                key.interestOps(accepts ? SelectionKey.OP_ACCEPT : 0);
            }
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private final class NioUdpSocket implements UdpSocket {
        private final DatagramChannel channel;

        private NioUdpSocket(DatagramChannel channel) {
            this.channel = channel;
        }

        @Override
        public void setHandler(ReadinessHandler handler) throws IOException {
            register(channel, SelectionKey.OP_READ, handler);
        }

        @Override
        public void send(InetSocketAddress recipient, ByteBuffer bytes) throws IOException {
            channel.send(bytes, recipient);
        }

        @Override
        public InetSocketAddress receive(ByteBuffer buffer) throws IOException {
            return (InetSocketAddress) channel.receive(buffer);
        }
    }
}
