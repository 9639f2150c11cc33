package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** What the reducer is notified of; all changes of its state come from these. Times are in microseconds. */
public sealed interface ReducerEvent {

    /** A well-formed request has come in, or its head has where the body is still coming. */
    record InvocationAccepted(Invocation invocation) implements ReducerEvent {}

    /** A well-formed request of another region has come in, by way of the regions of the path. */
    record RemoteInvocationAccepted(Invocation invocation, RegionPath path) implements ReducerEvent {}

    /** The operators have set other rules on regions; with the addresses of the other region's gateways. */
    record RegionRulesUpdated(FailoverRules rules, Map<String, InetSocketAddress> gateways) implements ReducerEvent {}

    /** The consumer has closed its connection before the answer. */
    record ConsumerDisconnected(Invocation invocation) implements ReducerEvent {}

    /** A body that was still coming in with its request is complete; the invocation's time runs from now on. */
    record RequestBodyCompleted(Invocation invocation, long timeout) implements ReducerEvent {}

    /** A call's answer has begun, and is passed on as it comes. */
    record ResponseStarted(UpstreamCall call, CallResult.ResponseReceived head) implements ReducerEvent {}

    /** A call has ended. */
    record CallEnded(UpstreamCall call, CallResult result) implements ReducerEvent {}

    /** A health check has ended. */
    record HealthCheckCompleted(String provider, long startedAt, CallResult result) implements ReducerEvent {}

    /** Discovery, or the configuration, has another list of providers. */
    record ProvidersUpdated(ProviderList list) implements ReducerEvent {}

    /** A datagram of a peer has come in. */
    record PeerDatagramReceived(int peer, byte[] bytes) implements ReducerEvent {}

    /** A timer of the policy is due. */
    record PolicyTimerExpired(long token) implements ReducerEvent {}

    /** The time for a call's connection to come up is over. */
    record ConnectTimeoutExpired(UpstreamCall call) implements ReducerEvent {}

    /** The time that the policy gave a call is over. */
    record CallTimeoutExpired(UpstreamCall call) implements ReducerEvent {}

    /** The consumer waits no longer than until now. */
    record InvocationDeadlinePassed(Invocation invocation) implements ReducerEvent {}

    /** The policy has thrown an exception at an invocation, so that nobody decides on it any more. */
    record PolicyDecisionFailed(Invocation invocation) implements ReducerEvent {}

    /** The policy asked for the counter service, which is not reached from here. */
    record CounterUnavailable(long name, AttemptOutcome outcome) implements ReducerEvent {}

    /** An attempt that was never sent: its invocation was closed, or its provider is not listed here. */
    record AttemptNotSent(Invocation invocation, int number, String provider, AttemptOutcome outcome)
            implements ReducerEvent {}
}
