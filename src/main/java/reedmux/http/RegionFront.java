package reedmux.http;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.core.Answer;
import reedmux.core.Clock;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.http.RequestReader.BadHeader;
import reedmux.policy.Gateway;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Settings;
import reedmux.region.Path;

/**
 * Requests that other regions send, as docs/regions.md tells the form. All that certainly did not run here,
 * and only that, is told so; a request that makes no sense has not run either.
 */
public final class RegionFront implements Front {
    static final String PATH = "X-Region-Path";
    static final String REPEAT = "X-Region-Repeat";
    static final String UNITS = "X-Region-Units";
    static final String TOOK = "X-Region-Took-Us";
    static final String NEVER_RAN = "X-Never-Ran";
    /** Advice to a region whose requests make no sense here, in microseconds: somebody must mend that. */
    private static final long FAULT_ADVICE = 10_000_000;

    private static final long MOST_MILLIS = 3_600_000;

    private final Settings settings;
    private final Clock clock;
    private final Consumer<Event> home;
    private final Map<String, Integer> classes = new HashMap<>();

    public RegionFront(Settings settings, Clock clock, Consumer<Event> home) {
        this.home = home;
        this.settings = settings;
        this.clock = clock;
        List<RequestClass> kinds = settings.classes();
        for (int i = 0; i < kinds.size(); i++) {
            classes.put(kinds.get(i).name(), i);
        }
    }

    /** The word by which the link tells what a repeat does. */
    static String word(Repeat repeat) {
        return repeat.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public boolean tellsTime() {
        return true;
    }

    @Override
    public long mostBody() {
        return Transport.MOST_BODY;
    }

    @Override
    public Read read(HttpRequest request, Content body, long takenAt, Invocation.Reply reply) {
        try {
            if (!RequestReader.plain(request.getPath())) {
                throw new BadHeader("the target holds a character that has no place there");
            }
            Path path = Path.read(RequestReader.text(request, PATH));
            if (path == null) {
                throw new BadHeader(PATH + " is no list of regions");
            }
            String name = RequestReader.className(request.getPath());
            Integer requestClass = classes.get(name);
            if (requestClass == null) {
                throw new BadHeader("no such class: " + name);
            }
            // What a repeat does must be the same in both regions: the one that thinks it harmless would
            // else send again what the other must not have twice.
            Repeat repeat = settings.classes().get(requestClass).repeat();
            if (!RequestReader.text(request, REPEAT).equals(word(repeat))
                    || !request.getMethod().equals(repeat == Repeat.SAFE ? "GET" : "POST")) {
                throw new BadHeader("the class " + name + " is " + word(repeat) + " here");
            }
            String traceId = RequestReader.hex(request, "X-Trace-Id");
            long left = RequestReader.number(request, "X-Expires-In-Ms", MOST_MILLIS) * 1000;
            double units = RequestReader.units(RequestReader.text(request, UNITS));
            if (!(units > 0) || units > settings.mostUnits()) {
                throw new BadHeader(UNITS + " is not what one request may take");
            }
            Request decided = new Request(
                    traceId,
                    requestClass,
                    Gateway.VISITOR,
                    Gateway.VISITOR,
                    takenAt + left,
                    units,
                    1,
                    settings.self(),
                    false);
            Invocation invocation = new Invocation(
                    decided,
                    repeat == Repeat.SAFE,
                    new Message(
                            request.getMethod(),
                            request.getPath(),
                            traceId,
                            RequestReader.contentType(request),
                            body,
                            left),
                    reply);
            return Read.of(invocation, new Event.VisitorTaken(invocation, path), home);
        } catch (BadHeader e) {
            return Read.refused(Response.text(503, e.getMessage(), FAULT_ADVICE, true));
        }
    }

    @Override
    public Response response(Answer answer) {
        if (answer instanceof Answer.Served served) {
            return new Response(
                    200, served.result().contentType(), served.result().body(), -1, false, (Flow)
                            served.result().rest());
        } else if (answer instanceof Answer.Rejection rejection) {
            return Response.text(503, "rejected", rejection.retryAfter(), rejection.neverRan());
        }
        boolean late = ((Answer.Failed) answer).late();
        return Response.text(late ? 504 : 502, late ? "no answer in time" : "failed");
    }
}
