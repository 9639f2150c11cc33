package reedmux.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import reedmux.core.Answer;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.operator.Figures;

/** One request of a consumer and its one answer. */
final class ConsumerExchange implements AsyncServerExchangeHandler, Invocation.Reply {
    private static final String TOO_LONG = "the body is over 64 KiB";

    private final ConsumerServer server;
    private final ConsumerServer.Link link;
    private final boolean alone;
    private final AtomicBoolean answered = new AtomicBoolean();
    private HttpRequest request;
    private ResponseChannel channel;
    private HttpContext context;
    private Body.In body;
    private volatile boolean reading;
    private volatile Consumer<Event> home;
    private volatile Invocation invocation;
    private volatile Figures.OfClass counts;
    private volatile Body.Out out;
    private long takenAt;
    private long wholeAt;

    /** {@code alone}: no request is open before it on its connection. */
    ConsumerExchange(ConsumerServer server, ConsumerServer.Link link, boolean alone) {
        this.server = server;
        this.link = link;
        this.alone = alone;
    }

    boolean answered() {
        return answered.get();
    }

    /** Whether its request's body is still coming in. */
    boolean reading() {
        return reading && !answered();
    }

    // ---- The request -------------------------------------------------------------------------------
    @Override
    public void handleRequest(HttpRequest request, EntityDetails entity, ResponseChannel channel,
                              HttpContext context) throws HttpException, IOException {
        this.request = request;
        this.channel = channel;
        this.context = context;
        takenAt = server.reader().now();
        if (link.problem() != null) {
            last(link.problemStatus(), link.problem());
        } else if (!alone) {
            last(400, "one request at a time on a connection");
        } else if (entity == null) {
            take(Body.NONE);
        } else if (entity.getContentLength() > Transport.MOST_BODY) {
            last(413, TOO_LONG); // told at once: to read 60 MB first would only cost
        } else {
            body = new Body.In(entity);
            reading = true;
            if (request.containsHeader("Expect")) { // some consumers hold the body back until told to go on
                channel.sendInformation(new BasicHttpResponse(100), context);
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        if (body == null || answered()) {
            source.position(source.limit());
            return;
        }
        body.take(source);
        if (body.tooLong()) {
            lastOrNone(413, TOO_LONG);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        if (!answered()) {
            take(body.bytes());
        }
    }

    /** The body cannot be read on; returns whether that could be told. */
    boolean unreadable(String problem) {
        return !answered() && lastOrNone(400, problem);
    }

    /** The request did not come in whole in time; returns whether that could be told. */
    boolean timedOut() {
        return !answered() && lastOrNone(408, "the request did not come in whole in time");
    }

    private boolean lastOrNone(int status, String why) {
        try {
            last(status, why);
            return true;
        } catch (HttpException | IOException e) {
            link.broken();
            return false;
        }
    }

    /** An answer after which the connection is closed, as what comes behind it makes no sense. */
    private void last(int status, String why) throws HttpException, IOException {
        link.last();
        respond(Front.Response.text(status, why));
    }

    private void take(byte[] bytes) throws HttpException, IOException {
        reading = false;
        link.taken();
        if (!Target.toOriginForm(request)) {
            last(400, "the target is not of this host");
            return;
        }
        if (request.getPath().equals("/healthz")) {
            boolean ready = server.ready();
            respond(Front.Response.text(ready ? 200 : 503, ready ? "ready" : "not ready"));
            return;
        }
        wholeAt = server.reader().tellsTime() ? server.reader().now() : 0;
        Front.Read read = server.reader().read(request, bytes, takenAt, this);
        link.intake = read.intake();
        counts = read.counts();
        if (read.invocation() == null) {
            if (read.last()) {
                link.last();
            }
            respond(read.refusal());
        } else {
            home = read.home();
            invocation = read.invocation();
            if (counts != null) {
                counts.taken();
            }
            home.accept(read.event());
        }
    }

    // ---- The answer --------------------------------------------------------------------------------
    @Override
    public void send(Answer answer) {
        try {
            respond(server.reader().response(answer));
        } catch (HttpException | IOException | RuntimeException e) {
            // The consumer's connection broke just now, and nobody is left to be told. Anything thrown on
            // from here would come out in the middle of a decision.
            link.broken();
        }
    }

    private void respond(Front.Response told) throws HttpException, IOException {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        if (counts != null) {
            counts.answered(told.status());
            if (invocation != null) {
                counts.ended();
            }
        }
        byte[] bytes = told.body();
        HttpResponse response = new BasicHttpResponse(told.status());
        if (told.contentType() != null) {
            response.addHeader("Content-Type", told.contentType());
        }
        response.addHeader("Content-Length", Integer.toString(bytes.length));
        if (told.retryAfter() >= 0) {
            response.addHeader("Retry-After", seconds(told.retryAfter()));
        }
        if (told.neverRan()) {
            response.addHeader(RegionFront.NEVER_RAN, "1");
        }
        if (wholeAt > 0) {
            response.addHeader(RegionFront.TOOK, Long.toString(server.reader().now() - wholeAt));
        }
        if (told.status() == 405) {
            response.addHeader("Allow", request.getMethod().equals("GET") ? "POST" : "GET");
        }
        if (server.lastAnswers() || link.deaf()) {
            response.addHeader("Connection", "close");
        }
        link.answering();
        out = new Body.Out(bytes);
        channel.sendResponse(response, bytes.length == 0 ? null
                : new BasicEntityDetails(bytes.length, null), context);
    }

    /** Seconds with three decimals, rounded up: to come back a little early would be to come in vain. */
    static String seconds(long micros) {
        long millis = (micros + 999) / 1000;
        String decimals = Long.toString(1000 + millis % 1000);
        return millis / 1000 + "." + decimals.substring(1);
    }

    @Override
    public int available() {
        return out == null ? 0 : out.available();
    }

    @Override
    public void produce(DataStreamChannel stream) throws IOException {
        out.write(stream);
    }

    // ---- The end -----------------------------------------------------------------------------------
    /** The connection has ended; without an answer that means the consumer went away. */
    void consumerLeft() {
        if (invocation != null && answered.compareAndSet(false, true)) {
            if (counts != null) {
                counts.ended();
            }
            home.accept(new Event.ConsumerLeft(invocation));
        }
    }

    @Override
    public void failed(Exception cause) {
        consumerLeft();
    }

    @Override
    public void releaseResources() {
        body = null;
    }
}
