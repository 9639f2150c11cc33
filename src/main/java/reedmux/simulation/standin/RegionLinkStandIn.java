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

/** The line between two regions: notes each request that crosses it, and breaks as it is told to. */
public final class RegionLinkStandIn extends StandInServer {
    /** What it does with a request. */
    public enum RegionLinkStandInBehavior {
        PASSES,
        SILENT,
        BREAKS_BEFORE,
        BREAKS_AFTER,
        BREAKS_ANSWERING
    }

    /** One that has crossed; {@code at} in nanoseconds of the system's monotonic clock. */
    public record LinkCrossing(long atNanos, String id, String path, double units) {}

    private static final int TIMEOUT_MILLIS = 20_000;
    private final InetSocketAddress gateway;
    private final List<LinkCrossing> crossings = new CopyOnWriteArrayList<>();
    private volatile Supplier<RegionLinkStandInBehavior> script = () -> RegionLinkStandInBehavior.PASSES;

    /** A line to a gateway's listener for regions. */
    public RegionLinkStandIn(InetSocketAddress to) throws IOException {
        this.gateway = to;
    }

    public void setScript(Supplier<RegionLinkStandInBehavior> told) {
        script = told;
    }

    /** All that has come in here, in order. */
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
        RegionLinkStandInBehavior does = script.get();
        if (does == RegionLinkStandInBehavior.SILENT) {
            Thread.sleep(TIMEOUT_MILLIS);
            return false;
        } else if (does == RegionLinkStandInBehavior.BREAKS_BEFORE) {
            reset(socket);
            return false;
        }
        byte[] body = readBody(connection, request);
        try (DefaultBHttpClientConnection onward = new DefaultBHttpClientConnection(Http1Config.DEFAULT);
                Socket there = new Socket()) {
            there.connect(gateway, TIMEOUT_MILLIS);
            there.setTcpNoDelay(true);
            there.setSoTimeout(TIMEOUT_MILLIS);
            onward.bind(there);
            ClassicHttpRequest same = new BasicClassicHttpRequest(request.getMethod(), request.getPath());
            for (Header header : request.getHeaders()) {
                same.addHeader(header);
            }
            if (body.length > 0) {
                same.setEntity(new ByteArrayEntity(body, null));
            }
            onward.sendRequestHeader(same);
            if (body.length > 0) {
                onward.sendRequestEntity(same);
            }
            onward.flush();
            if (does == RegionLinkStandInBehavior.BREAKS_AFTER) {
                Thread.sleep(5);
                reset(socket);
                return false;
            }
            ClassicHttpResponse answer = onward.receiveResponseHeader();
            onward.receiveResponseEntity(answer);
            byte[] told = answer.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(answer.getEntity());
            if (does == RegionLinkStandInBehavior.BREAKS_ANSWERING) {
                reset(socket);
                return false;
            }
            ClassicHttpResponse back = response(answer.getCode(), told);
            for (String name : List.of("Retry-After", "X-Never-Ran", "X-Region-Took-Us")) {
                if (answer.getFirstHeader(name) != null) {
                    back.setHeader(answer.getFirstHeader(name));
                }
            }
            send(connection, back);
            return true;
        } catch (IOException e) {
            reset(socket); // the other end has gone: so does this one
            return false;
        }
    }
}
