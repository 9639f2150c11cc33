package reedmux.core;

import java.net.InetSocketAddress;
import reedmux.region.Departure;

/** One attempt of an invocation at a provider. */
public final class InvokerCall {

    /** Why we stopped waiting for it, if we did. */
    enum Stop {
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
    final Departure departure;

    final long advice;
    Stop stop = Stop.NONE;
    boolean ended;
    Timer overdue;
    Timer connectOverdue;
    boolean neverRan;
    /** When its answer began to be passed on, in microseconds; nought before that. */
    long begunAt;
    /** What the carrier of calls remembers of it; the core never looks at it. */
    private Object transport;

    InvokerCall(Invocation invocation, int number, String provider, InetSocketAddress address, long sentAt) {
        this(invocation, number, provider, address, sentAt, null, 0);
    }

    InvokerCall(
            Invocation invocation,
            int number,
            String provider,
            InetSocketAddress address,
            long sentAt,
            Departure departure,
            long advice) {
        this.departure = departure;
        this.advice = advice;
        this.invocation = invocation;
        this.number = number;
        this.provider = provider;
        this.address = address;
        this.sentAt = sentAt;
    }

    /** It has ended, and needs no time limits any more. */
    void end() {
        ended = true;
        overdue.callOff();
        connectOverdue.callOff();
    }

    public Invocation invocation() {
        return invocation;
    }

    /** Which of its invocation's calls it is, from nought. */
    public int number() {
        return number;
    }

    /** How it goes to another region, or null for a provider's call. */
    public Departure departure() {
        return departure;
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
