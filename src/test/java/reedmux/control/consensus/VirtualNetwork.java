package reedmux.control.consensus;

/** A simulated network between virtual nodes. */
interface VirtualNetwork {

    /**
     * Sends a message, which may be lost.
     *
     * @param description describes the message, for tests that inspect single messages
     * @param delivery the action of the receiver
     */
    void send(String from, String to, String description, Runnable delivery);
}
