package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Hands a connection that we have accepted to the library's reactor. The library's own listener accepts
 * without a bound and dies of the first "too many open files"; 300 silent connections at once did it. It has
 * no hook for a bound and no public way in for a connection, so this class lies in its package.
 */
public final class AcceptedChannels {

    private AcceptedChannels() {}

    /** Hands an accepted channel to the reactor, which serves it from then on. */
    public static void hand(DefaultListeningIOReactor reactor, SocketChannel channel) {
        reactor.getWorkerSelector().next().enqueueChannel(new ChannelEntry(channel, null));
    }
}
