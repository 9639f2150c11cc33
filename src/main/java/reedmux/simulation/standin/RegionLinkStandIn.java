package reedmux.simulation.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/** A proxy on the link between two regions that records each incoming request and injects scripted link failures. */
public final class RegionLinkStandIn extends StandInServer {
    /** How the link treats a request. */
    public enum RegionLinkStandInBehavior {
        /** Forwards the request and returns the response. */
        PASSES,
        /** Neither forwards the request nor responds, and closes the connection after 20 seconds. */
        SILENT,
        /** Resets the connection before it forwards the request. */
        BREAKS_BEFORE,
        /** Resets the connection 5 ms after it has forwarded the request, without waiting for the response. */
        BREAKS_AFTER,
        /** Forwards the request, receives the response and resets the connection instead of returning it. */
        BREAKS_ANSWERING
    }

    /**
     * A request that has arrived at the link.
     *
     * @param atNanos the time of arrival, in nanoseconds of the system's monotonic clock
     * @param id      the trace id, or empty without the header
     * @param path    the value of the region path header, or empty without the header
     * @param units   the value of the region units header, or 0 without the header
     */
    public record LinkCrossing(long atNanos, String id, String path, double units) {}

    private static final int TIMEOUT_MILLIS = 20_000;
    private final InetSocketAddress gateway;
    private final List<LinkCrossing> crossings = new CopyOnWriteArrayList<>();
    private volatile Supplier<RegionLinkStandInBehavior> script = () -> RegionLinkStandInBehavior.PASSES;

    /** Creates a link that forwards to the region listener of a gateway. */
    public RegionLinkStandIn(InetSocketAddress gateway) throws IOException {
        this.gateway = gateway;
    }

    /** Sets the function that chooses the behavior for each subsequent request. */
    public void setScript(Supplier<RegionLinkStandInBehavior> newScript) {
        script = newScript;
    }

    /** Returns all requests that have arrived at the link, in order of arrival. */
    public List<LinkCrossing> crossings() {
        return crossings;
    }

    @Override
    boolean handle(Socket socket, DefaultBHttpServerConnection connection, ClassicHttpRequest request)
            throws IOException, HttpException, InterruptedException {
        String units = header(request, "X-Region-Units");
        crossings.add(new LinkCrossing(
                System.nanoTime(),
                header(request, "X-Trace-Id"),
                header(request, "X-Region-Path"),
                units.isEmpty() ? 0 : Double.parseDouble(units)));
        RegionLinkStandInBehavior behavior = script.get();
        if (behavior == RegionLinkStandInBehavior.SILENT) {
            Thread.sleep(TIMEOUT_MILLIS);
            return false;
        } else if (behavior == RegionLinkStandInBehavior.BREAKS_BEFORE) {
            reset(socket);
            return false;
        }
        byte[] body = readBody(connection, request);
        try (DefaultBHttpClientConnection gatewayConnection = new DefaultBHttpClientConnection(Http1Config.DEFAULT);
                Socket gatewaySocket = new Socket()) {
            gatewaySocket.connect(gateway, TIMEOUT_MILLIS);
            gatewaySocket.setTcpNoDelay(true);
            gatewaySocket.setSoTimeout(TIMEOUT_MILLIS);
            gatewayConnection.bind(gatewaySocket);
            ClassicHttpRequest forwarded = new BasicClassicHttpRequest(request.getMethod(), request.getPath());
            for (Header header : request.getHeaders()) {
                forwarded.addHeader(header);
            }
            if (body.length > 0) {
                forwarded.setEntity(new ByteArrayEntity(body, null));
            }
            gatewayConnection.sendRequestHeader(forwarded);
            if (body.length > 0) {
                gatewayConnection.sendRequestEntity(forwarded);
            }
            gatewayConnection.flush();
            if (behavior == RegionLinkStandInBehavior.BREAKS_AFTER) {
                Thread.sleep(5);
                reset(socket);
                return false;
            }
            ClassicHttpResponse reply = gatewayConnection.receiveResponseHeader();
            gatewayConnection.receiveResponseEntity(reply);
            byte[] responseBody = reply.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(reply.getEntity());
            if (behavior == RegionLinkStandInBehavior.BREAKS_ANSWERING) {
                reset(socket);
                return false;
            }
            ClassicHttpResponse response = response(reply.getCode(), responseBody);
            for (String name : List.of("Retry-After", "X-Never-Ran", "X-Region-Took-Us")) {
                if (reply.getFirstHeader(name) != null) {
                    response.setHeader(reply.getFirstHeader(name));
                }
            }
            send(connection, response);
            return true;
        } catch (IOException e) {
            reset(socket); // the gateway is unreachable or has closed its connection: reset this one as well
            return false;
        }
    }
}
