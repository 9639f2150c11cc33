package reedmux.control.store;

import java.util.function.Consumer;
import java.util.function.Supplier;
import reedmux.control.consensus.OperationStatus;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.StoreStatusRequest;
import reedmux.control.rpc.RpcConnection;

/**
 * An operator's request for this store's status, until it is answered: as soon as a quorum has confirmed contact, or
 * without that after a time. Only the first outcome counts.
 */
final class PendingStatusRequest implements Consumer<Boolean> {
    /** How long an operator is kept waiting for contact with a quorum. */
    static final long TIMEOUT_MICROS = 500_000;

    private final RpcConnection connection;
    private final StoreStatusRequest request;
    private final long receivedAt;
    private final Supplier<StoreStatus> status;
    private boolean answered;

    /**
     * Begins to wait.
     *
     * @param connection where the answer goes
     * @param receivedAt when the request came, in microseconds of the reactor's clock
     * @param status reads the status at the time of the answer
     */
    PendingStatusRequest(
            RpcConnection connection, StoreStatusRequest request, long receivedAt, Supplier<StoreStatus> status) {
        this.connection = connection;
        this.request = request;
        this.receivedAt = receivedAt;
        this.status = status;
    }

    /** Answers the operator; {@code quorumReached}: a quorum has confirmed contact since the request came. */
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
