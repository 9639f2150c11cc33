package reedmux.core;

import java.net.InetSocketAddress;

/** One attempt of an invocation at a provider. */
public final class InvokerCall {

    /** Why we stopped waiting for it, if we did. */
    enum Stop { NONE, TIMED_OUT, CANCELLED }

    final Invocation invocation;
    final int number;
    final String provider;
    final InetSocketAddress address;
    final long sentAt;
    Stop stop = Stop.NONE;
    boolean ended;
    boolean neverRan;
    /** What the carrier of calls remembers of it; the core never looks at it. */
    private Object transport;

    InvokerCall(Invocation invocation, int number, String provider, InetSocketAddress address, long sentAt) {
        this.invocation = invocation;
        this.number = number;
        this.provider = provider;
        this.address = address;
        this.sentAt = sentAt;
    }

    public Invocation invocation() {
        return invocation;
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
