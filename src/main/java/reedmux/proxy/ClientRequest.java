package reedmux.proxy;

import reedmux.common.http1.Http1Head;
import reedmux.proxy.request.ProxyRequest;
import reedmux.proxy.request.RequestAttempt;

/** A client's HTTP request, as it is forwarded to checkers. Not thread-safe; used on the reactor's thread only. */
final class ClientRequest implements ProxyRequest.RequestSource {
    /**
     * Time subtracted from the time left that is sent to a checker, as an allowance for the transfer of the response.
     */
    private static final long RETURN_PATH_MICROS = 2_000;

    /** Size of a body in bytes above which its transfer time affects the choice of a checker. */
    private static final int LARGE_BODY_BYTES = 20_000;

    private static final String TENANT_HEADER = "Reedmux-Tenant";
    private static final String TARGET_INSTANCE_HEADER = "Reedmux-Target-Instance";

    private final Http1Head head;
    private final String attemptId;
    private final String tenant;
    private final ClientRequestBody body;
    private final ClientConnection client;
    private ProxyRequest proxyRequest;

    /**
     * Creates a request; {@code tenant} is null for a request without a key, {@code body} for a request without a body.
     */
    ClientRequest(ClientConnection client, Http1Head head, String attemptId, String tenant, ClientRequestBody body) {
        this.client = client;
        this.head = head;
        this.attemptId = attemptId;
        this.tenant = tenant;
        this.body = body;
    }

    void setProxyRequest(ProxyRequest newProxyRequest) {
        proxyRequest = newProxyRequest;
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
    public Object connection() {
        return client;
    }

    @Override
    public boolean isReplayable() {
        return body == null || body.isReplayable();
    }

    @Override
    public boolean isFullyReceived() {
        return body == null || body.isComplete();
    }

    /** Returns whether the body was discarded, so that the request cannot be sent any more. */
    boolean isDiscarded() {
        return body != null && body.isDiscarded();
    }

    @Override
    public void release() {
        if (body != null) {
            body.release();
        }
    }

    @Override
    public boolean isLarge() {
        return body != null && (body.length() < 0 || body.length() > LARGE_BODY_BYTES);
    }

    /**
     * Encodes the head that an attempt sends: without hop-by-hop headers, and with the headers that the proxy sets
     * itself.
     */
    byte[] encodeHead(RequestAttempt attempt, long now) {
        Http1Head forwardedHead = Http1Head.request(head.method(), head.target());
        for (int i = 0; i < head.size(); i++) {
            String name = head.name(i);
            if (!head.isHopByHop(name) && !isReplacedHeader(name)) {
                forwardedHead.add(name, head.value(i));
            }
        }
        long timeLeftMillis = Math.max(1, (attempt.request().deadline() - now - RETURN_PATH_MICROS) / 1000);
        forwardedHead.add(RequestAdmission.TIME_LEFT_HEADER, Long.toString(timeLeftMillis));
        forwardedHead.add(TARGET_INSTANCE_HEADER, attempt.checker().id());
        if (tenant != null) {
            forwardedHead.add(TENANT_HEADER, tenant);
        }
        if (body != null && body.length() < 0) {
            forwardedHead.add("Transfer-Encoding", "chunked");
        } else if (body != null) {
            forwardedHead.add("Content-Length", Long.toString(body.length()));
        }
        return forwardedHead.encode();
    }

    private boolean isReplacedHeader(String name) {
        return name.equalsIgnoreCase(RequestAdmission.TIME_LEFT_HEADER)
                || name.equalsIgnoreCase(TENANT_HEADER)
                || name.equalsIgnoreCase(TARGET_INSTANCE_HEADER)
                || tenant != null && name.equalsIgnoreCase("Authorization");
    }
}
