package reedmux.simulation.soak;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Guards against two soaks on the same addresses: a proxy of one sent requests to a checker of the other, which had the
 * same id and the address of a checker that had crashed.
 */
public class LoopbackNetworkTest {
    private static final int PREFERRED = 245;

    @Test
    public void concurrentSoaksUseDifferentNetworks() throws IOException {
        Set<Integer> numbers = new HashSet<>();
        try (LoopbackNetwork first = LoopbackNetwork.reserve(PREFERRED);
                LoopbackNetwork second = LoopbackNetwork.reserve(PREFERRED);
                LoopbackNetwork third = LoopbackNetwork.reserve(PREFERRED)) {
            numbers.add(first.number());
            numbers.add(second.number());
            numbers.add(third.number());
        }
        assertEquals(numbers.size(), 3);
    }

    @Test
    public void networkIsFreeAgainOnceItIsClosed() throws IOException {
        int number;
        try (LoopbackNetwork first = LoopbackNetwork.reserve(PREFERRED - 20)) {
            number = first.number();
        }
        try (LoopbackNetwork again = LoopbackNetwork.reserve(number)) {
            assertEquals(again.number(), number);
        }
    }
}
