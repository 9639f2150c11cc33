package reedmux.proxy;

import reedmux.common.http1.Http1Head;
import reedmux.proxy.request.ProxyRequest;
import reedmux.proxy.request.RequestAttempt;

/** A client's request, as it goes on to checkers. */
public final class ClientRequest implements ProxyRequest.RequestSource {
    /** What the checker is told to have is a little less, for the way back. */
    private static final long RETURN_PATH_MICROS = 2_000;

    private static final int LARGE_BODY_BYTES = 20_000;
    private final Http1Head head;
    private final String attemptId;
    private final String tenant;
    private final ClientRequestBody body;
    private final ClientConnection client;
    private ProxyRequest proxyRequest;

    /** {@code tenant} is null for a request without key, {@code body} for one without body. */
    ClientRequest(ClientConnection client, Http1Head head, String attempt, String tenant, ClientRequestBody upload) {
        this.client = client;
        this.head = head;
        this.attemptId = attempt;
        this.tenant = tenant;
        this.body = upload;
    }

    void proxyRequest(ProxyRequest told) {
        proxyRequest = told;
    }

    ProxyRequest proxyRequest() {
        return proxyRequest;
    }

    ClientConnection client() {
        return client;
    }

    String method() {
        return head.method();
    }

    String attemptId() {
        return attemptId;
    }

    ClientRequestBody body() {
        return body;
    }

    @Override
    public boolean isReplayable() {
        return body == null || body.isReplayable();
    }

    @Override
    public boolean isFullyReceived() {
        return body == null || body.isComplete();
    }

    @Override
    public boolean isLarge() {
        return body != null && (body.length() < 0 || body.length() > LARGE_BODY_BYTES);
    }

    /** The head for one checker. */
    byte[] headFor(RequestAttempt what, long now) {
        Http1Head out = Http1Head.request(head.method(), head.target());
        for (int i = 0; i < head.size(); i++) {
            String name = head.name(i);
            if (!head.isHopByHop(name) && !isReplacedHeader(name)) {
                out.add(name, head.value(i));
            }
        }
        long left = Math.max(1, (what.request().deadline() - now - RETURN_PATH_MICROS) / 1000);
        out.add("Reedmux-Time-Left-Ms", Long.toString(left));
        out.add("Reedmux-Target-Instance", what.checker().id());
        if (tenant != null) {
            out.add("Reedmux-Tenant", tenant);
        }
        if (body != null && body.length() < 0) {
            out.add("Transfer-Encoding", "chunked");
        } else if (body != null) {
            out.add("Content-Length", Long.toString(body.length()));
        }
        return out.encode();
    }

    private boolean isReplacedHeader(String name) {
        return name.equalsIgnoreCase("Reedmux-Time-Left-Ms")
                || name.equalsIgnoreCase("Reedmux-Tenant")
                || name.equalsIgnoreCase("Reedmux-Target-Instance")
                || tenant != null && name.equalsIgnoreCase("Authorization");
    }
}
