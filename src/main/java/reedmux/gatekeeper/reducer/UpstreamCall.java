package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;

/** One attempt of an invocation at a provider. */
public final class UpstreamCall {

    /** Why we stopped waiting for it, if we did. */
    enum StopReason {
        NONE,
        TIMED_OUT,
        CANCELLED
    }

    final Invocation invocation;
    final int number;
    final String provider;
    final InetSocketAddress address;
    final long sentAt;
    /** How it goes to another region, or null for a provider's call; and our own advice if that refuses. */
    final ForwardedRequest forwardedRequest;

    final long rejectionRetryAfter;
    StopReason stopReason = StopReason.NONE;
    boolean ended;
    ReducerTimer timeoutTimer;
    ReducerTimer connectTimer;
    boolean neverRan;
    /** When its answer began to be passed on, in microseconds; nought before that. */
    long responseStartedAt;
    /** What the carrier of calls remembers of it; the core never looks at it. */
    private Object transport;

    UpstreamCall(Invocation invocation, int number, String provider, InetSocketAddress address, long sentAt) {
        this(invocation, number, provider, address, sentAt, null, 0);
    }

    UpstreamCall(
            Invocation invocation,
            int number,
            String provider,
            InetSocketAddress address,
            long sentAt,
            ForwardedRequest departure,
            long advice) {
        this.forwardedRequest = departure;
        this.rejectionRetryAfter = advice;
        this.invocation = invocation;
        this.number = number;
        this.provider = provider;
        this.address = address;
        this.sentAt = sentAt;
    }

    /** It has ended, and needs no time limits any more. */
    void markEnded() {
        ended = true;
        timeoutTimer.cancel();
        connectTimer.cancel();
    }

    public Invocation invocation() {
        return invocation;
    }

    /** Which of its invocation's calls it is, from nought. */
    public int number() {
        return number;
    }

    /** How it goes to another region, or null for a provider's call. */
    public ForwardedRequest forwardedRequest() {
        return forwardedRequest;
    }

    public String provider() {
        return provider;
    }

    public InetSocketAddress address() {
        return address;
    }

    public Object transport() {
        return transport;
    }

    public void transport(Object transport) {
        this.transport = transport;
    }
}
