package reedmux.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.Test;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.ServerList;
import reedmux.policy.Gateway.Status;

/** What is remembered of servers and customers that come and go has an end, and sums stay true. */
public final class MemoryTest {
    private final State.Fleet fleet = new State.Fleet();

    private State.Box told(Scope scope, String id, long started) {
        Server server = new Server(id, 0, 0, 0, Status.READY, 1, started);
        fleet.apply(new ServerList(scope, List.of(server)), 6);
        return fleet.ready.get(0);
    }

    @Test
    public void attemptsAtAServerThatStartsAnewAreNotOutAtItsNewLife() {
        State.Box old = told(Scope.FULL, "s", 0);
        old.open += 3;
        State.Box fresh = told(Scope.CHANGES, "s", 7);
        assertEquals(0, fresh.open);
        fresh.open++;
        old.open -= 3;
        assertEquals(1, fresh.open);
        assertEquals(1, fleet.open());
    }

    @Test
    public void attemptsAtAServerThatIsGoneLeaveTheSumsAlone() {
        State.Box old = told(Scope.FULL, "s", 0);
        old.open += 3;
        told(Scope.FULL, "other", 0);
        old.open -= 3;
        old.limit = 1;
        assertEquals(0, fleet.open());
        assertEquals(6, fleet.limit(), 0);
    }

    @Test
    public void aModuleLearnsFromItsPeersThatItHadALifeBefore() {
        Group group = Group.of(2, Group.quota(10, 100));
        group.request(0, Group.SAFE, 1, 0, 2);
        group.run(Group.SECOND);
        assertFalse(group.brains[0].restarted() || group.brains[1].restarted());
        group.request(0, Group.SAFE, 1, 0, 2);
        group.restart(1);
        group.run(3 * Group.SECOND);
        assertFalse(group.brains[0].restarted());
        assertTrue(group.brains[1].restarted());
    }

    /** It answers at once and never has anything of ours out, so by these alone it is the best of all. */
    @Test
    public void aServerThatTurnsAllAwayIsLeftAlone() {
        Group group = Group.of(1, Group.quota(1000, 1000));
        String away = "10.0.0.0:80";
        group.ends = sent -> sent.server().equals(away) ? Outcome.FULL : Outcome.OK;
        group.traffic(0, 1, 1, 10 * Group.MS, 10 * Group.SECOND);
        long there =
                group.sent.stream().filter(sent -> sent.server().equals(away)).count();
        assertTrue("of " + group.sent.size() + " there: " + there, there > 0 && there < 60);
    }

    /** A cold start of ours looks like a jam: it must not go on refusing for long after answers are good. */
    @Test
    public void theThrottleOpensWithinSecondsOnceAnswersAreGood() {
        Group group = Group.of(1, Group.quota(1000, 1000));
        long until = group.now + 2 * Group.SECOND;
        group.ends = sent -> sent.at() < until ? Outcome.RESET : Outcome.OK;
        int[] sent = new int[6];
        for (int i = 0; i < 600; i++) {
            int before = group.sent.size();
            group.request(0, Group.UNSAFE, 1, 0, 1);
            group.run(10 * Group.MS);
            sent[i / 100] += group.sent.size() - before;
        }
        assertTrue(Arrays.toString(sent), sent[1] < 50);
        assertTrue(Arrays.toString(sent), sent[4] > 80);
    }

    @Test
    public void shortNamesOfCustomersAreUnderstoodAndBounded() {
        PeerPacket.Names ours = new PeerPacket.Names();
        PeerPacket.Names theirs = new PeerPacket.Names();
        int packets = 5 * PeerPacket.NAMED;
        for (int number = 1; number <= packets; number++) {
            PeerPacket.Writer writer = new PeerPacket.Writer(ours, 1, 1, 0, number, 0, false, 40, List.of(), 256);
            writer.add(new PeerPacket.Entry(number, 0, 0, 2, 1, null, null, 0)); // comes once
            writer.add(new PeerPacket.Entry(0, 0, 0, 2, 1, null, null, 0)); // comes always
            for (PeerPacket.Entry entry : PeerPacket.read(writer.finish()).entries()) {
                PeerPacket.Entry full = theirs.full(entry);
                assertNotNull(full);
                assertTrue(full.customer() == number || full.customer() == 0);
            }
            ours.acknowledged(number);
        }
        assertTrue(ours.size() <= 2 * PeerPacket.NAMED);
        assertTrue(theirs.size() <= 2 * PeerPacket.NAMED);
    }
}
