package reedmux.gatekeeper.policy;

/** One attempt to send a request to a server. */
final class PolicyAttempt {
    final ServerState server;
    /** Send time, in microseconds. */
    final long sentAt;

    boolean ended;
    boolean mayHaveRun;
    /**
     * Whether the attempt is excluded from the server's load: its request body is incomplete, or its response has
     * begun.
     */
    boolean excludedFromLoad;

    PolicyAttempt(ServerState server, long sentAt) {
        this.server = server;
        this.sentAt = sentAt;
    }
}
