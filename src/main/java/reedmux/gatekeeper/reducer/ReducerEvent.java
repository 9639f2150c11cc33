package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;

/** What the reducer is told; all changes of state come from these. */
public sealed interface ReducerEvent {

    /** A whole and well-formed request has come in. */
    record InvocationAccepted(Invocation invocation) implements ReducerEvent {}

    /** A whole and well-formed request of another region has come in, having passed these. */
    record RemoteInvocationAccepted(Invocation invocation, RegionPath path) implements ReducerEvent {}

    /** The operators have set other rules about regions, with the addresses of the other one's gateways. */
    record RegionRulesUpdated(FailoverRules rules, Map<String, InetSocketAddress> gateways) implements ReducerEvent {}

    /** The consumer has closed its connection before the answer. */
    record ConsumerDisconnected(Invocation invocation) implements ReducerEvent {}

    /** A body that was still coming in with its request is whole; from now on its time runs, for so long. */
    record RequestBodyCompleted(Invocation invocation, long timeout) implements ReducerEvent {}

    /** An invoker call's answer has begun, and more of it is coming than is waited for. */
    record ResponseStarted(UpstreamCall call, CallResult.ResponseReceived head) implements ReducerEvent {}

    /** An invoker call has ended. */
    record CallEnded(UpstreamCall call, CallResult result) implements ReducerEvent {}

    /** A probe has ended. */
    record HealthCheckCompleted(String provider, long startedAt, CallResult result) implements ReducerEvent {}

    /** Discovery, or the configuration, has told of providers. */
    record ProvidersUpdated(ProviderList list) implements ReducerEvent {}

    /** A datagram of a peer has come in. */
    record PeerDatagramReceived(int peer, byte[] bytes) implements ReducerEvent {}

    /** A timer of the module is due. */
    record PolicyTimerExpired(long token) implements ReducerEvent {}

    /** A call's connection should be up by now. */
    record ConnectTimeoutExpired(UpstreamCall call) implements ReducerEvent {}

    /** The time that the module gave a call is over. */
    record CallTimeoutExpired(UpstreamCall call) implements ReducerEvent {}

    /** The consumer gives up about now. */
    record InvocationDeadlinePassed(Invocation invocation) implements ReducerEvent {}

    /** The decision on an invocation has thrown, so that nobody decides on it any more. */
    record PolicyDecisionFailed(Invocation invocation) implements ReducerEvent {}

    /** A call of the counter service that cannot be made here. */
    record CounterUnavailable(long name, AttemptOutcome outcome) implements ReducerEvent {}

    /** A send that never went out: its request was over, or its server is not known here. */
    record AttemptNotSent(Invocation invocation, int number, String provider, AttemptOutcome outcome)
            implements ReducerEvent {}
}
