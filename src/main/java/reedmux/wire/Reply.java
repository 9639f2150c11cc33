package reedmux.wire;

import java.util.HexFormat;
import reedmux.policy.Gateway.Actions;

/** Writes one instance's actions as lines of the reply. */
final class Reply implements Actions {
    private final StringBuilder out;
    private final int instance;

    Reply(StringBuilder out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    @Override
    public void send(String request, String server, long timeout) {
        begin("FORWARD")
                .append('\t')
                .append(request)
                .append('\t')
                .append(timeout)
                .append('\t')
                .append(server)
                .append('\n');
    }

    @Override
    public void refuse(String request, long retryAfter) {
        begin("SHED")
                .append('\t')
                .append(request)
                .append('\t')
                .append(retryAfter)
                .append('\n');
    }

    @Override
    public void fail(String request) {
        begin("DROP_REQUEST").append('\t').append(request).append('\n');
    }

    @Override
    public void cancel(String request, int attempt) {
        begin("STOP_ATTEMPT")
                .append('\t')
                .append(request)
                .append('\t')
                .append(attempt)
                .append('\n');
    }

    @Override
    public void probe(String server) {
        begin("TEST").append('\t').append(server).append('\n');
    }

    @Override
    public void closeIdle(String server) {
        begin("CLOSE").append('\t').append(server).append('\n');
    }

    @Override
    public void tell(int peer, byte[] bytes) {
        begin("MEMO_TO")
                .append('\t')
                .append(peer)
                .append('\t')
                .append(bytes.length == 0 ? "-" : HexFormat.of().formatHex(bytes))
                .append('\n');
    }

    @Override
    public void count(long name, double amount, long keep) {
        begin("POST_AMOUNT")
                .append('\t')
                .append(keep)
                .append('\t')
                .append(name)
                .append('\t')
                .append(amount)
                .append('\n');
    }

    @Override
    public void fetchServers() {
        begin("RESOLVE").append('\n');
    }

    @Override
    public void watchServers(boolean on) {
        begin("WATCH").append('\t').append(on ? 1 : 0).append('\n');
    }

    @Override
    public void timer(long at, long token) {
        begin("TIMER").append('\t').append(at).append('\t').append(token).append('\n');
    }

    @Override
    public void log(String line) {
        begin("DEBUG").append('\t').append(oneLine(line)).append('\n');
    }

    /** Tells that the module itself has failed. */
    void giveIn(String reason) {
        begin("GIVE_IN").append('\t').append(oneLine(reason)).append('\n');
    }

    private static String oneLine(String text) {
        return text.replaceAll("[\\t\\r\\n]+", " ");
    }

    private StringBuilder begin(String name) {
        return out.append(name).append('\t').append(instance);
    }
}
