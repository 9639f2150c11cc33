package reedmux.lab.world;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.net.Environment;

/** One end of a TCP connection. */
final class SimLine implements Environment.Line {
    private static final int WINDOW = 64 * 1024;
    private static final long FIRST_AGAIN = 1_000_000;
    private static final long RETRY = 200_000;
    private static final long SECOND = 1_000_000;
    /** A line that was opened here and has had no path for so long is given up. */
    private static final long DEAD = 5 * SECOND;

    private final Host host;
    private final World world;
    private SimLine peer;
    private Environment.Handler handler;
    private final Deque<byte[]> in = new ArrayDeque<>();
    private int offset;
    private boolean ended;
    private IOException failure;
    private boolean up;
    private boolean closed;
    private boolean gone;
    private boolean reads = true;
    private boolean writes;
    private boolean told;
    private boolean upTold;
    private int inFlight;
    private long lastArrival;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private long noPathSince = -1;

    SimLine(Host host, boolean opens) {
        this.host = host;
        world = host.world();
        host.opened(this);
        if (opens) {
            keepAlive();
        }
    }

    /** Sends the first packet; one that is dropped is sent again after seconds. */
    void dial(Machine target, int port, int times) {
        long again = FIRST_AGAIN << times;
        Runnable next = () -> {
            if (!closed && !up && failure == null && host.alive()) {
                dial(target, port, times + 1);
            }
        };
        if (target == null || !world.open(host.machine(), target)) {
            world.after(again, next);
            return;
        }
        world.after(world.delay(host.machine(), target), () -> {
            Host other = target.listening(port);
            if (!target.powered() || closed) {
                world.after(again, next);
            } else if (other == null) {
                back(target, () -> fail(new ConnectException("Connection refused")));
            } else {
                SimLine made = new SimLine(other, false);
                made.up = true;
                made.upTold = true;
                made.peer = this;
                if (!other.port(port).take(made)) {
                    other.closed(made);
                    world.after(again, next);
                    return;
                }
                back(target, () -> {
                    if (closed || !host.alive()) {
                        made.fail(new IOException("Connection reset by peer"));
                        return;
                    }
                    peer = made;
                    up = true;
                    tell();
                });
            }
        });
    }

    private void back(Machine from, Runnable task) {
        if (world.open(from, host.machine())) {
            world.after(world.delay(from, host.machine()), task);
        } else {
            world.after(RETRY, () -> back(from, task));
        }
    }

    private void keepAlive() {
        world.after(SECOND, () -> {
            if (closed || !host.alive() || failure != null) {
                return;
            }
            if (up && peer != null) {
                Machine there = peer.host.machine();
                boolean path =
                        world.open(host.machine(), there) && world.open(there, host.machine()) && there.powered();
                if (path && peer.gone) {
                    fail(new IOException("Connection reset by peer"));
                    return;
                }
                noPathSince = path ? -1 : noPathSince < 0 ? world.now() : noPathSince;
                if (noPathSince >= 0 && world.now() - noPathSince >= DEAD - SECOND) {
                    fail(new IOException("Connection timed out"));
                    return;
                }
            }
            keepAlive();
        });
    }

    // ---- The way to the other end ------------------------------------------------------------------
    /** Something arrives there, in order; what a cut holds up goes on when that is over. */
    private void carry(Runnable arrival) {
        if (peer == null) {
            return;
        }
        if (!held.isEmpty() || !world.open(host.machine(), peer.host.machine())) {
            held.add(arrival);
            if (held.size() == 1) {
                world.after(RETRY, this::release);
            }
            return;
        }
        lastArrival = Math.max(lastArrival + 1, world.now() + world.delay(host.machine(), peer.host.machine()));
        world.at(lastArrival, () -> arrive(arrival));
    }

    private void release() {
        if (gone || !host.machine().powered()) {
            held.clear();
        } else if (!world.open(host.machine(), peer.host.machine())) {
            world.after(RETRY, this::release);
        } else {
            while (!held.isEmpty()) {
                Runnable next = held.poll();
                lastArrival = Math.max(lastArrival + 1, world.now() + world.delay(host.machine(), peer.host.machine()));
                world.at(lastArrival, () -> arrive(next));
            }
        }
    }

    private void arrive(Runnable arrival) {
        if (peer.gone) { // the machine has forgotten it, or is without power and says nothing
            if (peer.host.machine().powered()) {
                back(peer.host.machine(), () -> fail(new IOException("Connection reset by peer")));
            }
        } else {
            arrival.run();
        }
    }

    // ---- What its process does ---------------------------------------------------------------------
    @Override
    public void handle(Environment.Handler by) {
        handler = by;
        tell();
    }

    @Override
    public boolean upAtOnce() {
        return false;
    }

    @Override
    public boolean finish() throws IOException {
        check();
        upTold |= up;
        return up;
    }

    private void check() throws IOException {
        if (failure != null) {
            throw failure;
        } else if (closed) {
            throw new IOException("closed");
        }
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        check();
        int some = 0;
        while (!in.isEmpty() && into.hasRemaining()) {
            byte[] first = in.peek();
            int many = Math.min(into.remaining(), first.length - offset);
            into.put(first, offset, many);
            offset += many;
            some += many;
            if (offset == first.length) {
                in.poll();
                offset = 0;
            }
        }
        if (some > 0) {
            int taken = some;
            SimLine to = peer;
            carry(() -> to.opened(taken));
            return some;
        }
        return ended && in.isEmpty() ? -1 : 0;
    }

    private void opened(int room) {
        inFlight -= room;
        tell();
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        check();
        int many = Math.min(from.remaining(), WINDOW - inFlight);
        if (many <= 0) {
            return 0;
        }
        byte[] some = new byte[many];
        from.get(some);
        inFlight += many;
        SimLine to = peer;
        host.wrote(to.host, many);
        carry(() -> to.take(some));
        return many;
    }

    private void take(byte[] some) {
        if (closed) {
            SimLine to = peer;
            carry(() -> to.fail(new IOException("Connection reset by peer")));
        } else {
            in.add(some);
            tell();
        }
    }

    @Override
    public void interest(boolean wantsReads, boolean wantsWrites) {
        reads = wantsReads;
        writes = wantsWrites;
        tell();
    }

    private void tell() {
        if (told || handler == null || closed || !due()) {
            return;
        }
        told = true;
        host.enter(() -> {
            told = false;
            if (!closed && due()) {
                try {
                    boolean failed = failure != null;
                    handler.ready(failed || reads && (!in.isEmpty() || ended), failed || writes && inFlight < WINDOW);
                } catch (IOException e) {
                    handler.failed(e);
                }
                tell();
            }
        });
    }

    private boolean due() {
        return failure != null || (upTold ? reads && (!in.isEmpty() || ended) || writes && inFlight < WINDOW : up);
    }

    @Override
    public void endOutput() {
        SimLine to = peer;
        carry(() -> {
            to.ended = true;
            to.tell();
        });
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        host.closed(this);
        if (peer != null && failure == null) {
            boolean unread = !in.isEmpty();
            SimLine to = peer;
            if (unread) {
                held.clear();
                carry(() -> to.fail(new IOException("Connection reset by peer")));
            } else {
                endOutput();
            }
        }
    }

    private void fail(IOException why) {
        if (failure == null && !closed) {
            failure = why;
            held.clear();
            tell();
        }
    }

    /** Its machine has lost power: nothing is said, and nothing is remembered. */
    void vanish() {
        gone = true;
        closed = true;
        held.clear();
        host.closed(this);
    }
}
