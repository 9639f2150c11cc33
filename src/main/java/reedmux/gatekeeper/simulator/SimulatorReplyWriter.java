package reedmux.gatekeeper.simulator;

import java.util.HexFormat;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;

/** Writes the actions of one gatekeeper as lines of the reply. */
public final class SimulatorReplyWriter implements PolicyActions {
    private final StringBuilder out;
    private final int instance;

    SimulatorReplyWriter(StringBuilder out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    @Override
    public void send(String request, String server, long timeout) {
        beginLine("FORWARD")
                .append('\t')
                .append(request)
                .append('\t')
                .append(timeout)
                .append('\t')
                .append(server)
                .append('\n');
    }

    @Override
    public void reject(String request, long retryAfter) {
        beginLine("SHED")
                .append('\t')
                .append(request)
                .append('\t')
                .append(retryAfter)
                .append('\n');
    }

    @Override
    public void fail(String request) {
        beginLine("DROP_REQUEST").append('\t').append(request).append('\n');
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        beginLine("STOP_ATTEMPT")
                .append('\t')
                .append(request)
                .append('\t')
                .append(attempt)
                .append('\n');
    }

    @Override
    public void checkHealth(String server) {
        beginLine("TEST").append('\t').append(server).append('\n');
    }

    @Override
    public void closeIdleConnections(String server) {
        beginLine("CLOSE").append('\t').append(server).append('\n');
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        beginLine("MEMO_TO")
                .append('\t')
                .append(peer)
                .append('\t')
                .append(bytes.length == 0 ? "-" : HexFormat.of().formatHex(bytes))
                .append('\n');
    }

    @Override
    public void addToCounter(long name, double amount, long retention) {
        beginLine("POST_AMOUNT")
                .append('\t')
                .append(retention)
                .append('\t')
                .append(name)
                .append('\t')
                .append(amount)
                .append('\n');
    }

    @Override
    public void fetchServers() {
        beginLine("RESOLVE").append('\n');
    }

    @Override
    public void watchServers(boolean on) {
        beginLine("WATCH").append('\t').append(on ? 1 : 0).append('\n');
    }

    @Override
    public void setTimer(long dueAt, long token) {
        beginLine("TIMER").append('\t').append(dueAt).append('\t').append(token).append('\n');
    }

    @Override
    public void log(String line) {
        beginLine("DEBUG").append('\t').append(toSingleLine(line)).append('\n');
    }

    /** Reports that the policy threw an exception. */
    void reportPolicyFailure(String reason) {
        beginLine("GIVE_IN").append('\t').append(toSingleLine(reason)).append('\n');
    }

    private static String toSingleLine(String text) {
        return text.replaceAll("[\\t\\r\\n]+", " ");
    }

    private StringBuilder beginLine(String name) {
        return out.append(name).append('\t').append(instance);
    }
}
