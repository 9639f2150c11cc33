package reedmux.lab.world;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.net.Environment;

/** A place for datagrams, which are lost now and then. */
final class SimBox implements Environment.Post {
    private static final int MOST = 256;
    private final Host host;
    private final InetSocketAddress address;
    private final Deque<Letter> letters = new ArrayDeque<>();
    private Environment.Handler handler;

    private record Letter(InetSocketAddress from, byte[] bytes) {}

    SimBox(Host host, InetSocketAddress address) {
        this.host = host;
        this.address = address;
    }

    @Override
    public void handle(Environment.Handler by) {
        handler = by;
    }

    @Override
    public void send(InetSocketAddress to, ByteBuffer bytes) {
        World world = host.world();
        Machine target = world.machine(to.getAddress().getHostAddress());
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        if (target == null || world.loses() || !world.open(host.machine(), target)) {
            return;
        }
        world.after(world.delay(host.machine(), target), () -> {
            Host hears = target.hearing(to.getPort());
            if (hears != null) {
                hears.box(to.getPort()).take(new Letter(address, copy));
            }
        });
    }

    private void take(Letter letter) {
        if (letters.size() < MOST) {
            letters.add(letter);
            host.enter(() -> {
                try {
                    handler.ready(true, false);
                } catch (java.io.IOException e) {
                    handler.failed(e);
                }
            });
        }
    }

    @Override
    public InetSocketAddress receive(ByteBuffer into) {
        Letter letter = letters.poll();
        if (letter == null) {
            return null;
        }
        into.put(letter.bytes);
        return letter.from;
    }
}
