package reedmux.lab.world;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.net.Environment;

/** A place where connections come in, with a queue that drops what is beyond it. */
final class SimPort implements Environment.Port {
    private final Host host;
    private final InetSocketAddress address;
    private final int backlog;
    private final Runnable closing;
    private final Deque<SimLine> waiting = new ArrayDeque<>();
    private Environment.Handler handler;
    private boolean accepts = true;
    private boolean told;

    SimPort(Host host, InetSocketAddress address, int backlog, Runnable closing) {
        this.host = host;
        this.address = address;
        this.backlog = backlog;
        this.closing = closing;
    }

    /** One more has come; false where there is no room. */
    boolean take(SimLine line) {
        if (waiting.size() >= backlog) {
            return false;
        }
        waiting.add(line);
        tell();
        return true;
    }

    private void tell() {
        if (!told && accepts && !waiting.isEmpty() && handler != null) {
            told = true;
            host.enter(() -> {
                told = false;
                try {
                    handler.ready(true, false);
                } catch (java.io.IOException e) {
                    handler.failed(e);
                }
                tell();
            });
        }
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void handle(Environment.Handler by) {
        handler = by;
    }

    @Override
    public Environment.Line accept() {
        return waiting.poll();
    }

    @Override
    public void interest(boolean wanted) {
        accepts = wanted;
        tell();
    }

    @Override
    public void close() {
        closing.run();
        waiting.forEach(SimLine::close);
    }
}
