package reedmux.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.link.Messages.Hello;
import reedmux.net.Reactor;

/** Keeps a link to one address up, as far as that can be had. */
public final class Dialer implements Link.Owner {
    /** Between the first tries, so that who starts together with us is met soon, and between later ones. */
    private static final long PAUSE = 30_000;

    private static final long LATER_PAUSE = 200_000;
    private static final int FIRST_TRIES = 20;
    /** A connection that is not up by then has met a machine without power: its first packet is lost. */
    private static final long CONNECT = 300_000;

    private final Reactor reactor;
    private final Codec codec;
    private final Hello self;
    private final InetSocketAddress to;
    private final Link.Owner owner;
    private Link link;
    private int tries;
    private boolean tried;
    private boolean ended;

    public Dialer(Reactor reactor, Codec codec, Hello self, InetSocketAddress to, Link.Owner owner) {
        this.reactor = reactor;
        this.codec = codec;
        this.self = self;
        this.to = to;
        this.owner = owner;
        dial();
    }

    public InetSocketAddress to() {
        return to;
    }

    /** The link if it is up, else null. */
    public Link link() {
        return link != null && link.isUp() ? link : null;
    }

    /** Whether at least one try has come to an end. */
    public boolean tried() {
        return tried;
    }

    /** Ends the link for good. */
    public void end() {
        ended = true;
        if (link != null) {
            link.close();
        }
    }

    private void dial() {
        if (ended) {
            return;
        }
        try {
            Link made = Link.open(reactor, codec, self, to, this);
            link = made;
            reactor.after(CONNECT, () -> {
                if (made.connecting()) {
                    made.close();
                }
            });
        } catch (IOException e) {
            again();
        }
    }

    private void again() {
        link = null;
        tried = true;
        reactor.after(++tries <= FIRST_TRIES ? PAUSE : LATER_PAUSE, this::dial);
    }

    @Override
    public void up(Link up) {
        tries = 0;
        tried = true;
        owner.up(up);
    }

    @Override
    public void told(Link from, Object message) {
        owner.told(from, message);
    }

    @Override
    public void down(Link gone) {
        boolean was = gone.other() != null;
        again();
        if (was) {
            owner.down(gone);
        }
    }
}
