package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Checks quorums of every set of up to six stores against those of every other set. */
public class QuorumTest {
    private static final List<String> ALL_STORES = List.of("a", "b", "c", "d", "e", "f");

    private static List<List<String>> allSubsets() {
        List<List<String>> sets = new ArrayList<>();
        for (int bits = 0; bits < 1 << ALL_STORES.size(); bits++) {
            List<String> set = new ArrayList<>();
            for (int i = 0; i < ALL_STORES.size(); i++) {
                if ((bits >> i & 1) == 1) {
                    set.add(ALL_STORES.get(i));
                }
            }
            sets.add(set);
        }
        return sets;
    }

    private static void assertIntersect(Quorum firstQuorum, Quorum secondQuorum) {
        for (List<String> nodes : allSubsets()) {
            List<String> remainingNodes = new ArrayList<>(ALL_STORES);
            remainingNodes.removeAll(nodes);
            assertFalse(
                    firstQuorum.isReachedBy(nodes) && secondQuorum.isReachedBy(remainingNodes),
                    nodes + " and " + remainingNodes);
            assertEquals(firstQuorum.isBlockedBy(remainingNodes), !firstQuorum.isReachedBy(nodes));
        }
    }

    @Test
    public void anyTwoQuorumsIntersectDuringMembershipChanges() {
        for (List<String> members : allSubsets()) {
            for (List<String> nextMembers : allSubsets()) {
                if (!members.isEmpty() && !nextMembers.isEmpty()) {
                    Quorum joint = Quorum.joint(members, nextMembers, 2);
                    assertIntersect(joint, joint);
                    assertIntersect(joint, Quorum.of(members, 2));
                    assertIntersect(joint, Quorum.of(nextMembers, 2));
                }
            }
        }
    }

    @Test
    public void minimumSizeRaisesTheQuorumAboveAMajority() {
        Quorum quorum = Quorum.of(List.of("a", "b", "c", "d", "e"), 4);
        assertFalse(quorum.isReachedBy(List.of("a", "b", "c", "f")));
        assertTrue(quorum.isReachedBy(List.of("a", "b", "c", "e")));
        assertTrue(quorum.isBlockedBy(List.of("a", "b")));
    }
}
