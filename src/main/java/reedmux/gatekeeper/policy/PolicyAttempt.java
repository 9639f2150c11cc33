package reedmux.gatekeeper.policy;

/** One attempt of a request at a server. */
final class PolicyAttempt {
    final ServerState server;
    /** When it was sent, in microseconds. */
    final long sentAt;

    boolean ended;
    boolean mayHaveRun;
    /** Its request is still coming in, or its answer has begun: it is no load at the server. */
    boolean excludedFromLoad;

    PolicyAttempt(ServerState server, long sentAt) {
        this.server = server;
        this.sentAt = sentAt;
    }
}
