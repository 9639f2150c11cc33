package reedmux.proxy;

import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RequestLimits;
import reedmux.proxy.request.ProxyResponse;

/** The environment of the client connections, which handles their requests. */
interface ClientRequestHandler {

    /** Returns the current time in microseconds. */
    long now();

    /** Executes a task in a later turn of the reactor. */
    void executeLater(Runnable task);

    /** Returns the limits that are in force. */
    RequestLimits requestLimits();

    /** Returns whether each response must be the last one on its connection. */
    boolean isDraining();

    /**
     * Returns whether a request is deferred until the proxy has started. If so, {@link
     * ClientConnection#resumeDeferred()} is called later.
     */
    boolean deferUntilStarted(ClientConnection client, Http1Head head);

    /** Admits or rejects a request; {@code body} is null if the request has none. */
    RequestAdmission.AdmissionResult admit(ClientConnection client, Http1Head head, ClientRequestBody body);

    /** Dispatches an admitted request. Its response is passed to {@link
     * ClientConnection#respond(ClientRequest, ProxyResponse)}. */
    void dispatch(ClientRequest request);

    /** Called when the response to an admitted request is no longer needed. */
    void onRequestAbandoned(ClientRequest request, boolean dispatched);

    /** Called once, when the connection of a client is closed. */
    void onClientClosed(ClientConnection client);
}
