package reedmux.gatekeeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedmux.gatekeeper.service.AdmissionControl.AdmissionLimits;

/** Checks which requests of which services are admitted. */
final class AdmissionControlTest {
    private static final AdmissionLimits UNLIMITED = new AdmissionLimits(Integer.MAX_VALUE, Long.MAX_VALUE);

    private static AdmissionControl createAdmissionControl(int inFlight, long bytes, Double... weights) {
        AdmissionControl admission = new AdmissionControl(inFlight, bytes);
        for (int i = 0; i < weights.length; i++) {
            admission.addService();
        }
        admission.setWeights(List.of(weights), Collections.nCopies(weights.length, UNLIMITED));
        return admission;
    }

    /**
     * A service within its share of both limits is always admitted, regardless of the load of other services, and the
     * totals stay below twice the limits.
     */
    @Property(tries = 3_000, seed = "91")
    void everyServiceGetsItsShareAtOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int serviceCount = random.nextInt(1, 6);
        Double[] weights = new Double[serviceCount];
        double weightSum = 0;
        for (int i = 0; i < serviceCount; i++) {
            weights[i] = 0.5 + random.nextInt(4);
            weightSum += weights[i];
        }
        int maxInFlight = random.nextInt(10, 80);
        int maxBlocks = random.nextInt(20, 400);
        AdmissionControl admission = createAdmissionControl(maxInFlight, maxBlocks * 1024L, weights);
        List<Deque<Long>> admittedRequests = new ArrayList<>();
        for (int i = 0; i < serviceCount; i++) {
            admittedRequests.add(new ArrayDeque<>());
        }
        for (int step = 0; step < 400; step++) {
            int service = random.nextInt(serviceCount);
            if (random.nextInt(3) == 0 && !admittedRequests.get(service).isEmpty()) {
                admission.onRequestEnded(service, admittedRequests.get(service).poll(), 1_000);
                continue;
            }
            long bytes = random.nextInt(4_000);
            boolean withinShare = admission.inFlight(service) < (int) (maxInFlight * weights[service] / weightSum)
                    && admission.bufferedBytes(service) / 1024 + 1 + bytes / 1024
                            <= (int) (maxBlocks * weights[service] / weightSum);
            AdmissionControl.AdmissionDecision decision = admission.admit(service, bytes);
            assertTrue(
                    decision.admitted() || !withinShare, "a request within the share of its service must be admitted");
            if (decision.admitted()) {
                admittedRequests.get(service).add(bytes);
            } else {
                assertTrue(decision.retryAfterMicros() > 0, "a rejection must carry a positive retry delay");
            }
            int inFlight = 0;
            long bufferedBytes = 0;
            for (int i = 0; i < serviceCount; i++) {
                assertEquals(admittedRequests.get(i).size(), admission.inFlight(i));
                inFlight += admission.inFlight(i);
                bufferedBytes += admission.bufferedBytes(i);
            }
            assertTrue(
                    inFlight < 2 * maxInFlight && bufferedBytes < 2 * maxBlocks * 1024L,
                    "the totals must stay below twice the limits");
        }
    }

    @Example
    void borrowsAllButTheReserveOfOthers() {
        AdmissionControl admission = createAdmissionControl(40, 1 << 20, 1.0, 1.0);
        int admitted = 0;
        while (admission.admit(0, 0).admitted()) {
            admitted++;
        }
        assertEquals(30, admitted);
        for (int i = 0; i < 20; i++) {
            assertTrue(
                    admission.admit(1, 0).admitted(),
                    "a service must get its whole share although others have borrowed from it");
        }
        assertFalse(admission.admit(1, 0).admitted());
        admission.onRequestEnded(0, 0, 2_000_000);
        assertFalse(admission.admit(0, 0).admitted(), "capacity must not be borrowed while the total is exceeded");
    }

    @Example
    void enforcesAServicesOwnLimits() {
        AdmissionControl admission = new AdmissionControl(40, 1 << 20);
        admission.addService();
        admission.setWeights(List.of(1.0), List.of(new AdmissionLimits(2, 10_240)));
        assertTrue(admission.admit(0, 5_000).admitted());
        assertFalse(admission.admit(0, 6_000).admitted(), "byte limit of the service exceeded");
        assertTrue(admission.admit(0, 4_000).admitted());
        assertFalse(admission.admit(0, 0).admitted(), "request limit of the service exceeded");
    }

    @Example
    void retryAfterFollowsTheResidenceTime() {
        AdmissionControl admission = createAdmissionControl(4, 1 << 20, 1.0);
        for (int i = 0; i < 200; i++) {
            admission.admit(0, 0);
            admission.onRequestEnded(0, 0, 800_000);
        }
        while (admission.admit(0, 0).admitted()) {
            // admit until the limit is reached
        }
        assertEquals(800_000, admission.admit(0, 0).retryAfterMicros(), 1_000);
        assertEquals(admission.rejectQueueFull(0), admission.admit(0, 0));
    }

    @Example
    void drainingServiceFreesItsShare() {
        AdmissionControl admission = createAdmissionControl(40, 1 << 20, 1.0, 1.0);
        for (int i = 0; i < 20; i++) {
            assertTrue(admission.admit(1, 100).admitted());
        }
        admission.setWeights(List.of(1.0, 0.0), List.of(UNLIMITED, UNLIMITED));
        assertFalse(
                admission.admit(1, 0).admitted(),
                "a draining service must not be admitted while the whole capacity is guaranteed to others");
        for (int i = 0; i < 40; i++) {
            assertTrue(admission.admit(0, 0).admitted());
        }
        for (int i = 0; i < 20; i++) {
            admission.onRequestEnded(1, 100, 1_000);
        }
        assertEquals(0, admission.bufferedBytes(1));
    }
}
