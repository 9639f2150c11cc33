package reedmux.gatekeeper.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of a lookup for growing tables. Run it with {@code mvn -Pbench verify}. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RouteTableBenchmark {
    private static final int LOOKUP_COUNT = 1024;

    /** The number of routes in the table. */
    @Param({"10", "1000", "100000"})
    public int routes;

    private RouteTable table;
    private final String[] hosts = new String[LOOKUP_COUNT];
    private final String[] targets = new String[LOOKUP_COUNT];
    private int requestIndex;

    /** Half of the requests match a route; the others have a host or a path that no route has. */
    @Setup
    public void compile() throws InvalidRouteException {
        List<ServiceRoute> serviceRoutes = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            String host = i % 10 == 0 ? "*.w" + i / 10 + ".example.org" : "h" + i / 10 + ".example.org";
            serviceRoutes.add(new ServiceRoute(host, "/part" + i % 10, i, i + 1));
        }
        table = RouteTable.of(serviceRoutes);
        for (int i = 0; i < LOOKUP_COUNT; i++) {
            int route = (int) (i * 7919L % (2 * routes));
            hosts[i] = "h" + route / 10 + ".example.org";
            targets[i] = "/part" + route % 10 + "/line-4/photo?part=9";
        }
    }

    @Benchmark
    public int find() {
        requestIndex = requestIndex + 1 & LOOKUP_COUNT - 1;
        return table.find(hosts[requestIndex], targets[requestIndex]);
    }
}
