package reedmux.control.consensus;

/** How messages travel between virtual nodes. */
interface VirtualNetwork {

    /**
     * Sends a message, which may be lost.
     *
     * @param description what the message says, for tests that look at single messages
     * @param delivery what the receiver does with it
     */
    void send(String from, String to, String description, Runnable delivery);
}
