package reedmux.core;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.policy.Gateway.Outcome;
import reedmux.region.Path;
import reedmux.region.RegionRules;

/** What the reducer is told; all changes of state come from these. */
public sealed interface Event {

    /** A whole and well-formed request has come in. */
    record InvocationTaken(Invocation invocation) implements Event {}

    /** A whole and well-formed request of another region has come in, having passed these. */
    record VisitorTaken(Invocation invocation, Path path) implements Event {}

    /** The operators have set other rules about regions, with the addresses of the other one's gateways. */
    record RegionsTold(RegionRules rules, Map<String, InetSocketAddress> gateways) implements Event {}

    /** The consumer has closed its connection before the answer. */
    record ConsumerLeft(Invocation invocation) implements Event {}

    /** A body that was still coming in with its request is whole; from now on its time runs, for so long. */
    record BodyWhole(Invocation invocation, long patience) implements Event {}

    /** An invoker call's answer has begun, and more of it is coming than is waited for. */
    record AnswerBegun(InvokerCall call, CallResult.Answered head) implements Event {}

    /** An invoker call has ended. */
    record CallEnded(InvokerCall call, CallResult result) implements Event {}

    /** A probe has ended. */
    record ProbeEnded(String provider, long askedAt, CallResult result) implements Event {}

    /** Discovery, or the configuration, has told of providers. */
    record ProvidersTold(ProviderList list) implements Event {}

    /** A datagram of a peer has come in. */
    record PeerTold(int peer, byte[] bytes) implements Event {}

    /** A timer of the module is due. */
    record TokenDue(long token) implements Event {}

    /** A call's connection should be up by now. */
    record ConnectOverdue(InvokerCall call) implements Event {}

    /** The time that the module gave a call is over. */
    record CallOverdue(InvokerCall call) implements Event {}

    /** The consumer gives up about now. */
    record DeadlinePassed(Invocation invocation) implements Event {}

    /** The decision on an invocation has thrown, so that nobody decides on it any more. */
    record DecisionFailed(Invocation invocation) implements Event {}

    /** A call of the counter service that cannot be made here. */
    record CountRefused(long name, Outcome outcome) implements Event {}

    /** A send that never went out: its request was over, or its server is not known here. */
    record SendVoid(Invocation invocation, int number, String provider, Outcome outcome) implements Event {}
}
