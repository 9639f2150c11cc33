package reedmux.core;

import java.net.InetSocketAddress;
import reedmux.region.Departure;

/** All reading and writing, as the reducer asks for it. What comes of it arrives later as events. */
public interface Effects {

    /** Hands the consumer its one final answer. */
    void answer(Invocation invocation, Answer answer);

    /** The invocation has its answer, or nobody waits for one any more: told exactly once of each. */
    default void over(Invocation invocation) {}

    /** Starts a call, which the provider is told we wait for so long; ends as {@link Event.CallEnded}. */
    void call(InvokerCall call, long timeout);

    /** Starts a call to another region, as was decided; ends as {@link Event.CallEnded}. */
    void callAway(InvokerCall call, Departure departure);

    /** Closes the call's connection if it has not come up yet. */
    void stopConnecting(InvokerCall call);

    /** Closes the call's connection; the end comes as an event, unless the call has just ended by itself. */
    void stop(InvokerCall call);

    /** Asks a provider's health; ends as {@link Event.ProbeEnded}. */
    void probe(String provider, InetSocketAddress address, long askedAt);

    /** Closes the idle connections to a provider, but not those to another one at its address. */
    void closeIdle(String provider, InetSocketAddress address);

    /** Sends a datagram to a peer, or to all at -1. */
    void tell(int peer, byte[] bytes);

    /** Leaves a line in the log. */
    void log(String line);
}
