package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** An input of the reducer. The reducer's state changes only through these events. Times are in microseconds. */
public sealed interface ReducerEvent {

    /** A well-formed request was received, or its head if the body is still arriving. */
    record InvocationAccepted(Invocation invocation) implements ReducerEvent {}

    /** A well-formed request was received from another region, by way of the regions in {@code path}. */
    record RemoteInvocationAccepted(Invocation invocation, RegionPath path) implements ReducerEvent {}

    /** The operators changed the failover rules. {@code gateways} holds the other region's gateways and addresses. */
    record RegionRulesUpdated(FailoverRules rules, Map<String, InetSocketAddress> gateways) implements ReducerEvent {}

    /** The consumer closed its connection before it received the complete answer. */
    record ConsumerDisconnected(Invocation invocation) implements ReducerEvent {}

    /**
     * The body of a streamed request is complete. The invocation's deadline is now {@code timeout} after this event.
     */
    record RequestBodyCompleted(Invocation invocation, long timeout) implements ReducerEvent {}

    /** The response to a call has started. It is streamed to the consumer as it arrives. */
    record ResponseStarted(UpstreamCall call, CallResult.ResponseReceived head) implements ReducerEvent {}

    /** A call has ended. */
    record CallEnded(UpstreamCall call, CallResult result) implements ReducerEvent {}

    /** A health check has ended. */
    record HealthCheckCompleted(String provider, long startedAt, CallResult result) implements ReducerEvent {}

    /** Discovery or the configuration supplied a new list of providers, or changes to it. */
    record ProvidersUpdated(ProviderList list) implements ReducerEvent {}

    /** A datagram was received from a peer. */
    record PeerDatagramReceived(int peer, byte[] bytes) implements ReducerEvent {}

    /** A timer that the policy set has expired. */
    record PolicyTimerExpired(long token) implements ReducerEvent {}

    /** The connection of a call was not established within the connect timeout. */
    record ConnectTimeoutExpired(UpstreamCall call) implements ReducerEvent {}

    /** The timeout that the policy set for a call has expired. */
    record CallTimeoutExpired(UpstreamCall call) implements ReducerEvent {}

    /** The deadline until which the consumer waits has passed. */
    record InvocationDeadlinePassed(Invocation invocation) implements ReducerEvent {}

    /** The policy threw an exception while it handled an invocation, and may never decide on that invocation again. */
    record PolicyDecisionFailed(Invocation invocation) implements ReducerEvent {}

    /** The policy requested the counter service, which this gatekeeper does not have. */
    record CounterUnavailable(long name, AttemptOutcome outcome) implements ReducerEvent {}

    /**
     * An attempt was not sent, for example because its invocation was closed, its deadline had passed or its provider
     * is not listed.
     */
    record AttemptNotSent(Invocation invocation, int number, String provider, AttemptOutcome outcome)
            implements ReducerEvent {}
}
