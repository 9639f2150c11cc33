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
import org.apache.hc.core5.http.HttpVersion;
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
    private static final String TOO_LONG = "the body is too long";

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
    /** A long body that comes in, and a long answer that goes out; or null. */
    private volatile Flow upload;

    private volatile Flow rest;
    private volatile boolean written;
    private long window = Transport.WINDOW;
    /** From when on, and from which byte, a slow body is judged. */
    private long paceSince;

    private long paceFrom;
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

    /** Whether it has been passed on, whole or not. */
    boolean passedOn() {
        return invocation != null;
    }

    /** Whether its body comes in too slowly; in {@code headLimit} microseconds a head must be whole. */
    boolean late(long now, long begunAt, long headLimit) {
        Flow flow = upload;
        if (!reading()) {
            return false;
        } else if (flow == null) {
            return Pace.late(now - begunAt, headLimit, body == null ? 0 : body.size());
        } else if (!flow.wants()) { // it waits for us
            paceSince = now;
            paceFrom = flow.taken();
            return false;
        }
        return Pace.late(now - (paceSince == 0 ? begunAt : paceSince), headLimit, flow.taken() - paceFrom);
    }

    /** Whether something of its answer waits for the consumer to read on. */
    boolean waitsForReader() {
        Flow flow = rest;
        return answered() && (flow == null || written || flow.waits());
    }

    // ---- The request -------------------------------------------------------------------------------
    @Override
    public void handleRequest(HttpRequest request, EntityDetails entity, ResponseChannel channel, HttpContext context)
            throws HttpException, IOException {
        this.request = request;
        this.channel = channel;
        this.context = context;
        if (link.problem() != null) {
            last(link.problemStatus(), link.problem());
        } else if (!alone) {
            last(400, "one request at a time on a connection");
        } else if (entity == null) {
            take(Content.whole(Body.NONE));
        } else if (entity.getContentLength() > server.reader().mostBody()) {
            last(413, TOO_LONG); // told at once: to read 60 MB first would only cost
        } else {
            body = new Body.In(entity);
            reading = true;
            if (request.containsHeader("Expect")) { // some consumers hold the body back until told to go on
                channel.sendInformation(new BasicHttpResponse(100), context);
            }
            if (entity.getContentLength() > Transport.MOST_BODY) {
                begin(entity.getContentLength());
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        Flow flow = upload;
        if (answered()) {
            channel.update(Integer.MAX_VALUE); // thrown away
        } else if (flow != null) {
            flow.source(channel);
        } else {
            window += Transport.MOST_BODY;
            channel.update(Transport.MOST_BODY);
        }
    }

    /** Its body is read on as it comes, and goes on the same way. */
    private void begin(long length) throws HttpException, IOException {
        Flow flow = new Flow(length, server.reader().mostBody(), window);
        flow.put(ByteBuffer.wrap(body.bytes()));
        upload = flow;
        body = null;
        take(new Content(Body.NONE, flow));
        if (answered()) {
            flow.end();
        }
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        Flow flow = upload;
        if (answered()) {
            source.position(source.limit());
            link.answering(); // what is thrown away is a sign of life too
        } else if (flow != null) {
            if (!flow.put(source)) {
                lastOrNone(413, TOO_LONG);
            }
        } else {
            ByteBuffer same = source.duplicate();
            body.take(source);
            if (body.tooLong() && server.reader().mostBody() <= Transport.MOST_BODY) {
                lastOrNone(413, TOO_LONG);
            } else if (body.tooLong()) {
                try {
                    begin(-1);
                } catch (HttpException e) {
                    throw new IOException(e);
                }
                upload.put(same);
            }
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        Flow flow = upload;
        if (flow != null) {
            reading = false;
            link.taken();
            flow.finish();
            if (invocation != null && !answered()) {
                home.accept(new Event.BodyWhole(invocation, RequestReader.patience(request)));
            }
        } else if (!answered()) {
            take(Content.whole(body.bytes()));
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
        if (invocation != null) { // what was passed on of it will never be whole
            home.accept(new Event.ConsumerLeft(invocation));
            upload.fail();
        }
    }

    private void take(Content content) throws HttpException, IOException {
        if (content.flow() == null) {
            reading = false;
            link.taken();
        }
        long takenAt = server.reader().now();
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
        Front.Read read = server.reader().read(request, content, takenAt, this);
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
        Flow flow = told.rest();
        if (flow == null) {
            count(told.status());
        }
        Flow unread = upload;
        if (unread != null && !link.deaf()) {
            unread.end(); // the rest is read and thrown away
        }
        byte[] bytes = told.body();
        HttpResponse response = new BasicHttpResponse(told.status());
        if (told.contentType() != null) {
            response.addHeader("Content-Type", told.contentType());
        }
        boolean old = request.getVersion() != null && request.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        if (flow == null || flow.length() >= 0) {
            response.addHeader("Content-Length", Long.toString(flow == null ? bytes.length : flow.length()));
        } else if (!old) {
            response.addHeader("Transfer-Encoding", "chunked");
        }
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
        if (flow != null) {
            rest = flow;
            flow.onFailure(this::cutOff);
            channel.sendResponse(response, new BasicEntityDetails(flow.length(), null), context);
            return;
        }
        out = new Body.Out(bytes);
        channel.sendResponse(response, bytes.length == 0 ? null : new BasicEntityDetails(bytes.length, null), context);
    }

    private void count(int status) {
        if (counts != null) {
            counts.answered(status);
            if (invocation != null) {
                counts.ended();
            }
        }
    }

    /** The rest of the answer will never come: the consumer can tell by the end of its connection. */
    private void cutOff() {
        if (!written) {
            written = true;
            if (counts != null) {
                counts.cutOff();
                counts.ended();
            }
        }
        link.broken();
    }

    /** Seconds with three decimals, rounded up: to come back a little early would be to come in vain. */
    static String seconds(long micros) {
        long millis = (micros + 999) / 1000;
        String decimals = Long.toString(1000 + millis % 1000);
        return millis / 1000 + "." + decimals.substring(1);
    }

    @Override
    public int available() {
        Flow flow = rest;
        return flow != null ? flow.available() : out == null ? 0 : out.available();
    }

    @Override
    public void produce(DataStreamChannel stream) throws IOException {
        Flow flow = rest;
        if (flow == null) {
            out.write(stream);
            link.answering();
            return;
        }
        long before = flow.moved();
        if (flow.writeTo(stream) && !written) {
            written = true;
            count(200);
        }
        if (flow.moved() != before) {
            link.answering();
        }
    }

    // ---- The end -----------------------------------------------------------------------------------
    /** The connection has ended; without an answer that means the consumer went away. */
    void consumerLeft() {
        Flow going = rest;
        if (going != null && !written) {
            written = true;
            going.end();
            if (counts != null) {
                counts.ended();
            }
            home.accept(new Event.ConsumerLeft(invocation));
        }
        if (invocation != null && answered.compareAndSet(false, true)) {
            if (counts != null) {
                counts.ended();
            }
            home.accept(new Event.ConsumerLeft(invocation));
        }
        Flow flow = upload;
        if (flow != null) {
            flow.fail();
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
