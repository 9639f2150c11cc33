package reedmux.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import reedmux.http.Calls.Room;

/** Descriptors that are lent, and come back by the closing of what is idle. */
final class DescriptorsTest {
    private final Descriptors descriptors = new Descriptors(20);
    private final Room one = descriptors.room(descriptors.add());
    private final Room two = descriptors.room(descriptors.add());

    private int takeAll(Room room) {
        int taken = 0;
        while (room.take()) {
            taken++;
        }
        return taken;
    }

    @Example
    void whatIsLentComesBackAtOnceWhileItIsIdle() {
        descriptors.weights(new double[] {1, 1});
        AtomicInteger idle = new AtomicInteger(3);
        descriptors.giver(0, () -> {
            boolean any = idle.getAndDecrement() > 0;
            if (any) {
                one.give();
            }
            return any;
        });
        assertEquals(15, takeAll(one), "half of the other's part is kept for it");
        for (int i = 0; i < 8; i++) {
            assertTrue(two.take(), "five are kept, three are idle and closed for it");
        }
        assertFalse(two.take(), "all that is left is in use");
        assertEquals(12, descriptors.used(0));
        one.give();
        assertFalse(one.take(), "what is free belongs to the one that lacks of its part");
        assertTrue(two.take());
    }

    @Example
    void partsFollowTheWeights() {
        descriptors.weights(new double[] {3, 1});
        assertEquals(17, takeAll(one));
        descriptors.weights(new double[] {0, 1});
        assertFalse(one.take());
        descriptors.giver(0, () -> false);
        assertEquals(3, takeAll(two), "one that leaves keeps its connections until its calls end");
    }
}
