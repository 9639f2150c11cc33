package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Passes accepted connections to the I/O reactor of HttpCore. The listener of HttpCore itself accepts connections
 * without a limit and terminates on the first "too many open files" error, which 300 simultaneous idle connections
 * caused. HttpCore has no setting for such a limit and no public method for adding an accepted connection, so this
 * class calls package-private members of its reactor and must therefore be in the same package.
 */
public final class AcceptedChannels {

    private AcceptedChannels() {}

    /** Passes an accepted channel to the next worker of the reactor, which serves it from then on. */
    public static void hand(DefaultListeningIOReactor reactor, SocketChannel channel) {
        reactor.getWorkerSelector().next().enqueueChannel(new ChannelEntry(channel, null));
    }
}
