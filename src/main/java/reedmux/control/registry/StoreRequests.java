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
 * Forwards the calls of operators to a store: to the store of this machine, or to another one if that store is not
 * connected. If a store does not respond in time, the caller receives {@link #STATUS_UNAVAILABLE}. Only reads are
 * retried with another store then, because it is unknown whether the first store applied a change.
 */
final class StoreRequests {
    /** Less than the 1 s that callers wait for a response; callers with large bodies wait longer. */
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
     * @param stores the connections to all stores, this machine's store first, as a live list
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
     * Sends a request to the first connected store at or after an index.
     *
     * @param request creates the request with a given id
     * @param retryable whether to try another store if this one is unavailable
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

    /** Sends a request; the callback runs once, with the response or with one that describes the failure. */
    private void send(RpcConnection store, LongFunction<Object> request, Consumer<OperatorResponse> callback) {
        long id = pending.register(List.of(store), callback);
        store.sendMessage(request.apply(id));
        reactor.scheduleAfter(STORE_TIMEOUT_MICROS, () -> fail(pending.cancel(id), TIMED_OUT));
    }

    /**
     * Requests the nearest store's part of a status report. The caller receives a report even if no store responds.
     *
     * @param report renders the report from the store's status and an empty string, or from null and the reason why
     *     there is no status
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

    /** Returns the connection to the first connected store, or null if no store is connected. */
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

    /** Reports a failure; does nothing if {@code callback} is null because the request has already ended. */
    private static void fail(Consumer<OperatorResponse> callback, String problem) {
        if (callback != null) {
            callback.accept(new OperatorResponse(0, STATUS_UNAVAILABLE, problem));
        }
    }
}
