package reedmux.proxy;

import reedmux.attempt.Exchange;
import reedmux.attempt.Try;
import reedmux.message.Head;

/** A client's request, as it goes on to checkers. */
final class ClientRequest implements Exchange.Source {
    /** What the checker is told to have is a little less, for the way back. */
    private static final long WAY_BACK = 2_000;

    private static final int LARGE = 20_000;
    private final Head head;
    private final String attempt;
    private final String tenant;
    private final Upload upload;
    private final ClientWire client;
    private Exchange exchange;

    /** {@code tenant} is null for a request without key, {@code upload} for one without body. */
    ClientRequest(ClientWire client, Head head, String attempt, String tenant, Upload upload) {
        this.client = client;
        this.head = head;
        this.attempt = attempt;
        this.tenant = tenant;
        this.upload = upload;
    }

    void exchange(Exchange told) {
        exchange = told;
    }

    Exchange exchange() {
        return exchange;
    }

    ClientWire client() {
        return client;
    }

    String method() {
        return head.method();
    }

    String attempt() {
        return attempt;
    }

    Upload upload() {
        return upload;
    }

    @Override
    public boolean sendable() {
        return upload == null || upload.fromStart();
    }

    @Override
    public boolean whole() {
        return upload == null || upload.whole();
    }

    @Override
    public boolean large() {
        return upload != null && (upload.length() < 0 || upload.length() > LARGE);
    }

    /** The head for one checker. */
    byte[] headFor(Try what, long now) {
        Head out = Head.request(head.method(), head.target());
        for (int i = 0; i < head.size(); i++) {
            String name = head.name(i);
            if (!head.ofConnection(name) && !ours(name)) {
                out.add(name, head.value(i));
            }
        }
        long left = Math.max(1, (what.exchange().deadline() - now - WAY_BACK) / 1000);
        out.add("Reedmux-Time-Left-Ms", Long.toString(left));
        out.add("Reedmux-Target-Instance", what.checker().id());
        if (tenant != null) {
            out.add("Reedmux-Tenant", tenant);
        }
        if (upload != null && upload.length() < 0) {
            out.add("Transfer-Encoding", "chunked");
        } else if (upload != null) {
            out.add("Content-Length", Long.toString(upload.length()));
        }
        return out.bytes();
    }

    private boolean ours(String name) {
        return name.equalsIgnoreCase("Reedmux-Time-Left-Ms")
                || name.equalsIgnoreCase("Reedmux-Tenant")
                || name.equalsIgnoreCase("Reedmux-Target-Instance")
                || tenant != null && name.equalsIgnoreCase("Authorization");
    }
}
