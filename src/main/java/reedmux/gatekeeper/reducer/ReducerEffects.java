package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;

/** All reading and writing, as the reducer asks for it. Its results come later, as {@link ReducerEvent}s. */
public interface ReducerEffects {

    /** Hands the consumer its one final answer. */
    void sendAnswer(Invocation invocation, FinalAnswer answer);

    /** The invocation has its answer, or nobody waits for one any more; called exactly once for each. */
    default void onInvocationClosed(Invocation invocation) {}

    /**
     * Starts a call to a provider; ends as {@link ReducerEvent.CallEnded}.
     *
     * @param timeout how long the answer is waited for, in microseconds; sent to the provider too
     */
    void startCall(UpstreamCall call, long timeout);

    /** Starts a call to another region; ends as {@link ReducerEvent.CallEnded}. */
    void startForwardedCall(UpstreamCall call, ForwardedRequest forwarded);

    /** Closes the call's connection unless it has come up by now. */
    void abortConnecting(UpstreamCall call);

    /** Closes the call's connection unless the whole request has been written by now. */
    void abortUnlessSent(UpstreamCall call);

    /** Closes the call's connection; the end comes as an event, unless the call has just ended by itself. */
    void abortCall(UpstreamCall call);

    /** Checks a provider's health; ends as {@link ReducerEvent.HealthCheckCompleted}. */
    void checkHealth(String provider, InetSocketAddress address, long startedAt);

    /** Closes the idle connections to a provider, but not those to another one at its address. */
    void closeIdleConnections(String provider, InetSocketAddress address);

    /** Sends a datagram to the peer of that number, or to all at -1. */
    void sendToPeer(int peer, byte[] bytes);

    /** Writes a line to the log. */
    void log(String line);
}
