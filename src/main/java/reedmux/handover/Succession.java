package reedmux.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.policy.Twin.Spent;

/**
 * One process's part in hand-overs: first, perhaps, the one that takes another's place, later the one whose
 * place is taken. Every step that fails leads to where the process would be without the other one.
 */
public final class Succession implements Link.Ear, AutoCloseable {
    /** How long the other process may take for a word; one that is busy answers within a few turns. */
    private static final long PATIENCE_MILLIS = 1_000;

    /** What a hand-over asks of the gatekeeper. All but the first are called by the turns' thread. */
    public interface Body {
        /** Has this run by the turns' thread. */
        void onLoop(Runnable task);

        /** Lets the peers' socket go, and tells what was counted. */
        List<Frame.Counted> hand();

        /** Goes on from what another process has counted, and takes the peers' socket. */
        void take(List<Frame.Counted> counted);

        /** Counts what the other process has counted since. */
        void hear(String service, List<Spent> spent);

        /** What was counted here since the last time. */
        List<Frame.SpentSince> spent();

        /** The other process has gone; {@code elder}: it had taken our place, which is ours again. */
        void alone(boolean elder);

        /** Another process serves in our place, or does no more. Any thread. */
        void succeeded(boolean now);
    }

    private final Path place;
    private final Frame.Hello self;
    private final Body body;
    private final Consumer<String> log;
    private Link.Listener listener;
    private Link elder;
    private Link successor;
    private boolean handed;
    private boolean closed;
    private boolean took;
    private volatile Link exchanging;
    private final CountDownLatch met = new CountDownLatch(1);
    private final CountDownLatch told = new CountDownLatch(1);
    private final List<Frame.Counted> counted = new ArrayList<>();
    private String problem;

    /** {@code rules}: all that must be the same in two processes for their counts to mean the same. */
    public Succession(Path place, String rules, Body body, Consumer<String> log) {
        this.place = place;
        this.body = body;
        this.log = log;
        self = new Frame.Hello(Frames.VERSION, rules);
    }

    // ---- The new process ---------------------------------------------------------------------------
    /** Whether another process of this gatekeeper runs, be it of a kind that hands nothing over. */
    public boolean meet() throws InterruptedException {
        Link link = Link.to(place, this);
        if (link == null) {
            return false;
        }
        synchronized (this) {
            elder = link;
        }
        link.send(self);
        if (!met.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
            giveUp("the other process does not answer");
        }
        return true;
    }

    /**
     * Takes over what the other process has counted, if there is one; to be called when all else is ready.
     * Returns whether it did, with the counts taken in.
     */
    public boolean takeOver() throws InterruptedException {
        Link from;
        synchronized (this) {
            from = elder;
        }
        if (from == null) {
            return false;
        }
        from.send(new Frame.Take());
        boolean all = told.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        CountDownLatch taken = new CountDownLatch(1);
        synchronized (this) {
            if (!all || elder == null) {
                giveUp("the other process does not tell what it has counted");
                return false;
            }
            took = true;
            body.onLoop(() -> {
                body.take(List.copyOf(counted));
                exchanging = from;
                taken.countDown();
            });
        }
        return taken.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void giveUp(String why) {
        Link link = elder;
        elder = null;
        if (problem == null) {
            problem = why;
            log.accept("hand-over: " + why + "; starting from nothing");
        }
        if (link != null && !took) {
            link.close();
        }
        met.countDown();
        told.countDown();
    }

    /** This process serves now: the other one is told, and later ones may take our place. */
    public synchronized void serving() {
        if (elder != null) {
            elder.send(new Frame.Serving());
        }
        listen();
    }

    private synchronized void listen() {
        if (closed) {
            return;
        }
        try {
            listener = new Link.Listener(place, this, this::meets);
        } catch (IOException e) {
            log.accept("hand-over: not possible from this process: " + e.getMessage());
        }
    }

    // ---- The old process ---------------------------------------------------------------------------
    private synchronized void meets(Link link, Link.Listener by) {
        if (successor != null || closed || by != listener && listener != null) {
            link.close(); // one at a time
        } else {
            successor = link;
        }
    }

    /** Leaves; whoever comes now starts from nothing. */
    @Override
    public synchronized void close() {
        closed = true;
        for (Link link : new Link[] {elder, successor}) {
            if (link != null) {
                link.finish();
            }
        }
        if (listener != null && !handed) {
            listener.closeAndRemove();
        } else if (listener != null) {
            listener.close();
        }
    }

    // ---- Either ------------------------------------------------------------------------------------
    /** Tells the other process what was counted here; by the turns' thread, every few dozen milliseconds. */
    public void exchange() {
        Link with = exchanging;
        if (with != null) {
            for (Frame.SpentSince since : body.spent()) {
                with.send(since);
            }
        }
    }

    /** Whether there is another process to be told. */
    public boolean exchanges() {
        return exchanging != null;
    }

    @Override
    public void heard(Link from, Frame frame) {
        if (frame instanceof Frame.Hello hello) {
            onHello(from, hello);
        } else if (frame instanceof Frame.Take) {
            body.onLoop(() -> hand(from));
        } else if (frame instanceof Frame.Counted some) {
            synchronized (this) {
                counted.add(some);
            }
            if (some.last()) {
                told.countDown();
            }
        } else if (frame instanceof Frame.Serving) {
            log.accept("hand-over: another process serves in our place");
            body.succeeded(true);
        } else if (frame instanceof Frame.SpentSince since) {
            body.onLoop(() -> body.hear(since.service(), since.spent()));
        }
    }

    private void onHello(Link from, Frame.Hello hello) {
        boolean same = hello.version() == self.version() && hello.rules().equals(self.rules());
        synchronized (this) {
            if (from == successor && same) {
                from.send(self);
            } else if (from == elder && same) {
                met.countDown();
            }
        }
        if (!same) {
            log.accept("hand-over: the other process is of another version or has other settings");
            from.close();
        }
    }

    private void hand(Link to) {
        synchronized (this) {
            if (to != successor || handed) {
                return;
            }
            handed = true;
        }
        List<Frame.Counted> all = body.hand();
        all.forEach(to::send);
        exchanging = to;
        log.accept("hand-over: told what was counted of "
                + all.stream().mapToInt(service -> service.kept().size()).sum() + " customers");
    }

    @Override
    public void ended(Link link, String why) {
        boolean lostPlace = false;
        boolean alone = false;
        synchronized (this) {
            if (link == successor) {
                successor = null;
                lostPlace = handed && !closed;
                handed = false;
            } else if (link == elder) {
                alone = took && !closed;
                if (!took) {
                    giveUp(why);
                }
                elder = null;
            }
        }
        if (link == exchanging) {
            exchanging = null;
        }
        if (lostPlace) {
            log.accept("hand-over: the process that took our place has gone (" + why + "); serving on");
            body.succeeded(false);
            body.onLoop(() -> body.alone(true));
            synchronized (this) {
                if (listener != null) {
                    listener.close();
                }
                listen();
            }
        } else if (alone) {
            log.accept("hand-over: the former process has gone");
            body.onLoop(() -> body.alone(false));
        }
    }
}
