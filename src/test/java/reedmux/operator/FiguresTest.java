package reedmux.operator;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** The counts that the admin server tells. */
public final class FiguresTest {
    private final Figures figures = new Figures();

    @Test
    public void countsByAnswerAndTellsEveryClassFromTheFirstFetchOn() {
        Figures.OfService own = figures.service("");
        Figures.OfClass check = own.ofClass("check");
        own.ofClass("reject");
        for (int status : new int[] {200, 200, 429, 503, 400, 404, 405, 502, 504}) {
            check.taken();
            check.answered(status);
            check.ended();
        }
        check.taken();
        check.taken();
        check.ended(); // its client went away
        check.cutOff();
        own.called();
        own.hosts(7, 2);
        assertEquals(
                "svc.success.check:2|c\nsvc.busy.check:2|c\nsvc.failure.check:6|c\n"
                        + "svc.success.reject:0|c\nsvc.busy.reject:0|c\nsvc.failure.reject:0|c\n"
                        + "svc.backend_calls:1|c\nsvc.inflight:1|g\nsvc.hosts_listed:7|g\nsvc.hosts_down:2|g\n",
                figures.text());
    }

    @Test
    public void servicesAddUpAndOneThatEndedKeepsItsCounts() {
        figures.service("").called();
        figures.service("").hosts(3, 1);
        Figures.OfService invoices = figures.service("invoices");
        invoices.ofClass("check").answered(200);
        invoices.called();
        invoices.hosts(4, 0);
        assertEquals(
                "svc.success.invoices.check:1|c\nsvc.busy.invoices.check:0|c\n"
                        + "svc.failure.invoices.check:0|c\nsvc.backend_calls:2|c\nsvc.inflight:0|g\n"
                        + "svc.hosts_listed:7|g\nsvc.hosts_down:1|g\n",
                figures.text());
        invoices.hosts(0, 0);
        figures.service("invoices").ofClass("check").answered(200); // it has come back
        assertEquals(
                "svc.success.invoices.check:2|c\nsvc.busy.invoices.check:0|c\n"
                        + "svc.failure.invoices.check:0|c\nsvc.backend_calls:2|c\nsvc.inflight:0|g\n"
                        + "svc.hosts_listed:3|g\nsvc.hosts_down:1|g\n",
                figures.text());
    }
}
