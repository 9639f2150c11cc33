package reedmux.gatekeeper.admin;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Tests the metrics that the admin server prints. */
public final class MetricsTest {
    private final Metrics metrics = new Metrics();

    @Test
    public void countsByStatusAndListsEveryClassFromTheStart() {
        Metrics.ServiceMetrics service = metrics.forService("");
        Metrics.ClassMetrics check = service.forClass("check");
        service.forClass("reject");
        for (int status : new int[] {200, 200, 429, 503, 400, 404, 405, 502, 504}) {
            check.onStarted();
            check.onAnswered(status);
            check.onEnded();
        }
        check.onStarted();
        check.onStarted();
        check.onEnded(); // its client disconnected
        check.onResponseTruncated();
        service.onProviderCall();
        service.setHosts(7, 2);
        assertEquals(
                "svc.success.check:2|c\nsvc.busy.check:2|c\nsvc.failure.check:6|c\n"
                        + "svc.success.reject:0|c\nsvc.busy.reject:0|c\nsvc.failure.reject:0|c\n"
                        + "svc.backend_calls:1|c\nsvc.inflight:1|g\nsvc.hosts_listed:7|g\nsvc.hosts_down:2|g\n",
                metrics.render());
    }

    @Test
    public void sumsOverServicesAndKeepsCountersOfEndedServices() {
        metrics.forService("").onProviderCall();
        metrics.forService("").setHosts(3, 1);
        Metrics.ServiceMetrics invoices = metrics.forService("invoices");
        invoices.forClass("check").onAnswered(200);
        invoices.onProviderCall();
        invoices.setHosts(4, 0);
        assertEquals(
                "svc.success.invoices.check:1|c\nsvc.busy.invoices.check:0|c\n"
                        + "svc.failure.invoices.check:0|c\nsvc.backend_calls:2|c\nsvc.inflight:0|g\n"
                        + "svc.hosts_listed:7|g\nsvc.hosts_down:1|g\n",
                metrics.render());
        invoices.setHosts(0, 0);
        metrics.forService("invoices").forClass("check").onAnswered(200); // the service has been added again
        assertEquals(
                "svc.success.invoices.check:2|c\nsvc.busy.invoices.check:0|c\n"
                        + "svc.failure.invoices.check:0|c\nsvc.backend_calls:2|c\nsvc.inflight:0|g\n"
                        + "svc.hosts_listed:3|g\nsvc.hosts_down:1|g\n",
                metrics.render());
    }
}
