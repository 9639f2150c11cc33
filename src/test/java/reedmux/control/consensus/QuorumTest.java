package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Every set of up to six stores, against every other. */
public class QuorumTest {
    private static final List<String> ALL = List.of("a", "b", "c", "d", "e", "f");

    private static List<List<String>> sets() {
        List<List<String>> sets = new ArrayList<>();
        for (int bits = 0; bits < 1 << ALL.size(); bits++) {
            List<String> set = new ArrayList<>();
            for (int i = 0; i < ALL.size(); i++) {
                if ((bits >> i & 1) == 1) {
                    set.add(ALL.get(i));
                }
            }
            sets.add(set);
        }
        return sets;
    }

    private static void assertOverlap(Quorum one, Quorum other) {
        for (List<String> first : sets()) {
            List<String> rest = new ArrayList<>(ALL);
            rest.removeAll(first);
            assertFalse(one.isReachedBy(first) && other.isReachedBy(rest), first + " and " + rest);
            assertEquals(one.isBlockedBy(rest), !one.isReachedBy(first));
        }
    }

    @Test
    public void anyTwoSetsThatDecideShareAStoreAlsoWhileTheMembersChange() {
        for (List<String> before : sets()) {
            for (List<String> after : sets()) {
                if (!before.isEmpty() && !after.isEmpty()) {
                    Quorum joint = Quorum.joint(before, after, 2);
                    assertOverlap(joint, joint);
                    assertOverlap(joint, Quorum.of(before, 2));
                    assertOverlap(joint, Quorum.of(after, 2));
                }
            }
        }
    }

    @Test
    public void fourOfFiveWhereThreeMayBeLost() {
        Quorum quorum = Quorum.of(List.of("a", "b", "c", "d", "e"), 4);
        assertFalse(quorum.isReachedBy(List.of("a", "b", "c", "f")));
        assertTrue(quorum.isReachedBy(List.of("a", "b", "c", "e")));
        assertTrue(quorum.isBlockedBy(List.of("a", "b")));
    }
}
