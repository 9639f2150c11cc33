package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;

/** The I/O operations that the reducer requests. Their results are reported later as {@link ReducerEvent}s. */
public interface ReducerEffects {

    /** Sends the consumer the final answer. Called at most once for each invocation. */
    void sendAnswer(Invocation invocation, FinalAnswer answer);

    /**
     * Called exactly once for each invocation, when it is answered or its consumer no longer waits for an answer.
     */
    default void onInvocationClosed(Invocation invocation) {}

    /**
     * Starts a call to a provider. Its end is reported as {@link ReducerEvent.CallEnded}.
     *
     * @param timeout the time limit for the response in microseconds, which is also sent to the provider
     */
    void startCall(UpstreamCall call, long timeout);

    /** Starts a call to another region. Its end is reported as {@link ReducerEvent.CallEnded}. */
    void startForwardedCall(UpstreamCall call, ForwardedRequest forwarded);

    /** Closes the call's connection unless it is already established. */
    void abortConnecting(UpstreamCall call);

    /** Closes the call's connection unless the whole request has already been written. */
    void abortUnlessSent(UpstreamCall call);

    /**
     * Closes the call's connection. The end of the call is reported as an event, unless the call has ended in the
     * meantime.
     */
    void abortCall(UpstreamCall call);

    /** Checks a provider's health. The result is reported as {@link ReducerEvent.HealthCheckCompleted}. */
    void checkHealth(String provider, InetSocketAddress address, long startedAt);

    /** Closes the idle connections to a provider, but not those to another provider at the same address. */
    void closeIdleConnections(String provider, InetSocketAddress address);

    /** Sends a datagram to the peer with the given index, or to all peers if {@code peer} is -1. */
    void sendToPeer(int peer, byte[] bytes);

    /** Writes a line to the log. */
    void log(String line);
}
