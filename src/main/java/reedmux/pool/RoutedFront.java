package reedmux.pool;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import reedmux.core.Answer;
import reedmux.core.Clock;
import reedmux.core.Invocation;
import reedmux.http.Content;
import reedmux.http.Front;
import reedmux.routing.RouteTable;

/**
 * The consumers' side of all pools: leads each request to its pool, which reads it by its own classes and
 * plans. What can be read in two ways is refused and ends the connection, and nothing of it is passed on.
 */
final class RoutedFront implements Front {
    private final Clock clock;
    private volatile Table table;

    RoutedFront(Clock clock) {
        this.clock = clock;
    }

    /** Leads what is read from now on by this table. */
    void lead(Table now) {
        table = now;
    }

    Table table() {
        return table;
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public boolean tellsTime() {
        return false;
    }

    @Override
    public Response response(Answer answer) {
        return Response.of(answer);
    }

    @Override
    public Read read(HttpRequest request, Content body, long takenAt, Invocation.Reply reply) {
        Table now = table;
        if (now.routes() == null) {
            return now.main().reader().read(request, body, takenAt, reply);
        }
        Header host = request.getFirstHeader("Host");
        boolean none = host == null || host.getValue().isEmpty();
        int service = now.routes().find(none ? null : host.getValue(), request.getPath());
        if (service == RouteTable.AMBIGUOUS) {
            return Read.last(400, "the host or the path can be read in two ways");
        }
        Pool pool = service == RouteTable.NONE ? null : now.targets().get(service);
        if (pool == null) {
            return Read.refused(Response.text(404, "no service of this host and path"));
        } else if (none && !pool.hostless()) {
            return Read.last(400, "Host is missing");
        }
        return pool.reader().read(request, body, takenAt, reply).through(pool.intake());
    }
}
