package reedmux.control.consensus;

import java.util.function.BiConsumer;

/** What an operator's request was answered. */
final class RecordedReply implements BiConsumer<Integer, String> {
    /** An {@link OperationStatus}; 0 before there is an answer. */
    int status;

    String text = "";
    /** How often it was answered. */
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
