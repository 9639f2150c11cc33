package reedmux.control.store;

import java.util.function.Consumer;
import java.util.function.Supplier;
import reedmux.control.consensus.OperationStatus;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.StoreStatusRequest;
import reedmux.control.rpc.RpcConnection;

/**
 * An operator's pending request for this store's status. It is answered as soon as a quorum has confirmed contact, or
 * without that confirmation after {@link #TIMEOUT_MICROS}. Only the first outcome takes effect.
 */
final class PendingStatusRequest implements Consumer<Boolean> {
    /** Maximum time that an operator's request waits for contact with a quorum. */
    static final long TIMEOUT_MICROS = 500_000;

    private final RpcConnection connection;
    private final StoreStatusRequest request;
    private final long receivedAt;
    private final Supplier<StoreStatus> status;
    private boolean answered;

    /**
     * Creates an unanswered request.
     *
     * @param connection the connection over which the response is sent
     * @param receivedAt when the request was received, in microseconds of the reactor's clock
     * @param status supplies the status when the response is sent
     */
    PendingStatusRequest(
            RpcConnection connection, StoreStatusRequest request, long receivedAt, Supplier<StoreStatus> status) {
        this.connection = connection;
        this.request = request;
        this.receivedAt = receivedAt;
        this.status = status;
    }

    /**
     * Sends the response, unless it has been sent already.
     *
     * @param quorumReached whether a quorum has confirmed contact since the request was received
     */
    @Override
    public void accept(Boolean quorumReached) {
        if (answered) {
            return;
        }
        answered = true;
        String body = status.get().toJson(request, quorumReached, receivedAt);
        connection.sendMessage(new OperatorResponse(request.id(), OperationStatus.OK, body));
    }
}
