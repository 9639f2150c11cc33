package reedmux.control.registry;

import java.util.List;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1ServerConnection;
import reedmux.control.rpc.Messages.ConfigurationChangeRequest;
import reedmux.control.rpc.Messages.ConfigurationReadRequest;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.StoreStatusRequest;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;

/**
 * Forwards the operator's calls to a store: to this machine's, and to another one where that cannot be reached. A store
 * that does not respond in time is answered for with {@link #STATUS_UNAVAILABLE}. Only a read is sent to a second store
 * then: whether a change was carried out is not known.
 */
final class StoreRequests {
    /** Callers wait for a second, those with large bodies longer. */
    private static final long STORE_TIMEOUT_MICROS = 850_000;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String NO_STORE = "no store can be reached";
    private static final String TIMED_OUT = "the store does not answer";
    private static final String DISCONNECTED = "the link to the store has ended";

    private final Reactor reactor;
    private final List<RpcDialer> stores;
    private final PendingRequests<RpcConnection, Consumer<OperatorResponse>> pending = new PendingRequests<>();

    /**
     * Creates the requests of one registry.
     *
     * @param stores the connections to all stores, this machine's first; a live list
     */
    StoreRequests(Reactor reactor, List<RpcDialer> stores) {
        this.reactor = reactor;
        this.stores = stores;
    }

    void changeConfiguration(String body, Http1ServerConnection caller) {
        forward(0, id -> new ConfigurationChangeRequest(id, body), false, caller);
    }

    void readConfiguration(Http1ServerConnection caller) {
        forward(0, ConfigurationReadRequest::new, true, caller);
    }

    void removeFromCore(String node, Http1ServerConnection caller) {
        forward(0, id -> new CoreRemovalRequest(id, node), false, caller);
    }

    /**
     * Sends a request to the first store, from an index on, that is connected.
     *
     * @param request the request for an id
     * @param retryable whether another store may be asked where this one is unavailable
     */
    private void forward(int index, LongFunction<Object> request, boolean retryable, Http1ServerConnection caller) {
        if (index >= stores.size()) {
            caller.respond(STATUS_UNAVAILABLE, NO_STORE);
            return;
        }
        RpcConnection store = stores.get(index).connection();
        if (store == null) {
            forward(index + 1, request, retryable, caller);
            return;
        }
        send(store, request, response -> {
            boolean unavailable = response.status() == STATUS_UNAVAILABLE;
            if (unavailable && retryable && index + 1 < stores.size()) {
                forward(index + 1, request, true, caller);
            } else {
                caller.respond(response.status(), response.body());
            }
        });
    }

    /** Sends a request; the callback is called once, with the response or with one for its failure. */
    private void send(RpcConnection store, LongFunction<Object> request, Consumer<OperatorResponse> callback) {
        long id = pending.register(List.of(store), callback);
        store.sendMessage(request.apply(id));
        reactor.scheduleAfter(STORE_TIMEOUT_MICROS, () -> fail(pending.cancel(id), TIMED_OUT));
    }

    /**
     * Asks the nearest store for its part of a status report. The caller is answered in any case.
     *
     * @param report renders the report from the store's status, or from null and why there is none
     */
    void requestStatus(ControlCall.ShowCall show, Http1ServerConnection caller, BinaryOperator<String> report) {
        RpcConnection store = nearestStore();
        if (store == null) {
            caller.respond(STATUS_OK, report.apply(null, NO_STORE));
            return;
        }
        send(
                store,
                id -> new StoreStatusRequest(id, show.subject(), show.afterName(), show.limit()),
                response -> caller.respond(
                        STATUS_OK,
                        response.status() == STATUS_OK
                                ? report.apply(response.body(), "")
                                : report.apply(null, response.body())));
    }

    /** Returns the connection to the first store that is connected, or null. */
    private RpcConnection nearestStore() {
        for (RpcDialer dialer : stores) {
            RpcConnection connection = dialer.connection();
            if (connection != null) {
                return connection;
            }
        }
        return null;
    }

    void onResponse(RpcConnection connection, OperatorResponse response) {
        Consumer<OperatorResponse> callback = pending.complete(response.id(), connection);
        if (callback != null) {
            callback.accept(response);
        }
    }

    void onDisconnected(RpcConnection connection) {
        pending.onConnectionLost(connection).forEach(callback -> fail(callback, DISCONNECTED));
    }

    /** {@code callback}: null where the response has come. */
    private static void fail(Consumer<OperatorResponse> callback, String problem) {
        if (callback != null) {
            callback.accept(new OperatorResponse(0, STATUS_UNAVAILABLE, problem));
        }
    }
}
