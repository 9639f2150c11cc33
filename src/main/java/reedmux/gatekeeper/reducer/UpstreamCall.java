package reedmux.gatekeeper.reducer;

import java.net.InetSocketAddress;
import reedmux.gatekeeper.failover.ForwardedRequest;

/** One attempt to run an invocation on a provider or a gateway of another region. Times are in microseconds. */
public final class UpstreamCall {

    /** Why this gateway aborted the call, if it did. */
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
    /** How the call is forwarded to another region, or null for a call to a provider. */
    final ForwardedRequest forwardedRequest;
    /**
     * This region's own retry delay for the consumer if the forwarded call ends in a rejection. The other region's
     * advice can only lengthen it.
     */
    final long rejectionRetryAfter;

    StopReason stopReason = StopReason.NONE;
    boolean ended;
    /**
     * Whether the consumer disconnected during the call. If the call then ends before the request is written, the
     * outcome must not count as a failure of the provider.
     */
    boolean consumerDisconnected;

    ReducerTimer timeoutTimer;
    ReducerTimer connectTimer;
    /** Whether the call is known not to have run the request. */
    boolean neverRan;
    /** The time at which streaming of the response to the consumer started, or 0 before that. */
    long responseStartedAt;
    /** State that the transport attaches to the call. The reducer does not use it. */
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

    /** Marks the call as ended and cancels its timers. */
    void markEnded() {
        ended = true;
        timeoutTimer.cancel();
        connectTimer.cancel();
    }

    /** Returns the invocation that this call belongs to. */
    public Invocation invocation() {
        return invocation;
    }

    /** Returns the index of this call among the calls of its invocation, from 0. */
    public int number() {
        return number;
    }

    /** Returns how the call is forwarded to another region, or null for a call to a provider. */
    public ForwardedRequest forwardedRequest() {
        return forwardedRequest;
    }

    /** Returns the id of the provider, or the name of the other region's gateway. */
    public String provider() {
        return provider;
    }

    /** Returns the address of the provider or gateway. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the state that the transport attached to this call, or null. */
    public Object transportState() {
        return transportState;
    }

    /** Attaches state of the transport to this call. */
    public void transportState(Object transportState) {
        this.transportState = transportState;
    }
}
