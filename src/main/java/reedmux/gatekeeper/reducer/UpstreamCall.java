package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;

/** One attempt of an invocation at a provider, or at a gateway of another region. Times are in microseconds. */
public final class UpstreamCall {

    /** Why this gateway stopped waiting for it, if it did. */
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
    /** How it goes to another region, or null for a provider's call. */
    final ForwardedRequest forwardedRequest;
    /** Our own advice if the other region rejects it. */
    final long rejectionRetryAfter;

    StopReason stopReason = StopReason.NONE;
    boolean ended;
    /** Its consumer left while it was out, so that how it ends without an answer says nothing of the provider. */
    boolean consumerLeft;

    ReducerTimer timeoutTimer;
    ReducerTimer connectTimer;
    boolean neverRan;
    /** When its answer began to be passed on; 0 before that. */
    long responseStartedAt;
    /** What the transport remembers of it; the reducer never looks at it. */
    private Object transportState;

    UpstreamCall(Invocation invocation, int number, String provider, InetSocketAddress address, long sentAt) {
        this(invocation, number, provider, address, sentAt, null, 0);
    }

    UpstreamCall(
            Invocation invocation,
            int number,
            String provider,
            InetSocketAddress address,
            long sentAt,
            ForwardedRequest forwardedRequest,
            long rejectionRetryAfter) {
        this.forwardedRequest = forwardedRequest;
        this.rejectionRetryAfter = rejectionRetryAfter;
        this.invocation = invocation;
        this.number = number;
        this.provider = provider;
        this.address = address;
        this.sentAt = sentAt;
    }

    /** It has ended, and needs no timers any more. */
    void markEnded() {
        ended = true;
        timeoutTimer.cancel();
        connectTimer.cancel();
    }

    /** Whose call it is. */
    public Invocation invocation() {
        return invocation;
    }

    /** Which of its invocation's calls it is, from 0. */
    public int number() {
        return number;
    }

    /** How it goes to another region, or null for a provider's call. */
    public ForwardedRequest forwardedRequest() {
        return forwardedRequest;
    }

    /** The provider's id, or the gateway's name. */
    public String provider() {
        return provider;
    }

    /** Where it goes. */
    public InetSocketAddress address() {
        return address;
    }

    /** What the transport keeps with it, or null. */
    public Object transportState() {
        return transportState;
    }

    /** Has the transport keep something with it. */
    public void transportState(Object transport) {
        this.transportState = transport;
    }
}
