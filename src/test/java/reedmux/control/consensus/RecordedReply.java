package reedmux.control.consensus;

import java.util.function.BiConsumer;

/** Records the reply to an operator's request. */
final class RecordedReply implements BiConsumer<Integer, String> {
    /** The {@link OperationStatus} of the reply; 0 before the reply. */
    int status;

    String text = "";
    /** The number of replies received. */
    int replyCount;

    @Override
    public void accept(Integer newStatus, String newText) {
        status = newStatus;
        text = newText;
        replyCount++;
    }

    boolean isOk() {
        return status == OperationStatus.OK;
    }
}
