package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;

/** All reading and writing, as the reducer asks for it. What comes of it arrives later as events. */
public interface ReducerEffects {

    /** Hands the consumer its one final answer. */
    void sendAnswer(Invocation invocation, FinalAnswer answer);

    /** The invocation has its answer, or nobody waits for one any more: told exactly once of each. */
    default void onInvocationClosed(Invocation invocation) {}

    /** Starts a call, which the provider is told we wait for so long; ends as {@link ReducerEvent.CallEnded}. */
    void startCall(UpstreamCall call, long timeout);

    /** Starts a call to another region, as was decided; ends as {@link ReducerEvent.CallEnded}. */
    void startForwardedCall(UpstreamCall call, ForwardedRequest departure);

    /** Closes the call's connection if it has not come up yet. */
    void abortConnecting(UpstreamCall call);

    /** Closes the call's connection; the end comes as an event, unless the call has just ended by itself. */
    void abortCall(UpstreamCall call);

    /** Asks a provider's health; ends as {@link ReducerEvent.HealthCheckCompleted}. */
    void checkHealth(String provider, InetSocketAddress address, long askedAt);

    /** Closes the idle connections to a provider, but not those to another one at its address. */
    void closeIdleConnections(String provider, InetSocketAddress address);

    /** Sends a datagram to a peer, or to all at -1. */
    void sendToPeer(int peer, byte[] bytes);

    /** Leaves a line in the log. */
    void log(String line);
}
