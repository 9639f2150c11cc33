package reedmux.proxy.quota;

import java.util.Arrays;
import java.util.List;
import reedmux.common.quota.HeapCounter;
import reedmux.control.session.SessionView;

/**
 * This proxy's neighbours in the heap over all members (parent, left and right child, in this order): which of them
 * are heard, and how many members can be reached through each. Times are microseconds.
 */
final class HeapNeighbours {
    static final int COUNT = HeapCounter.NEIGHBOUR_COUNT;
    /**
     * A neighbour that is not heard for this long is unreachable, with everybody behind it. Shorter notices a partition
     * sooner; longer bears links that are busy for a while without giving up part of the quota.
     */
    private static final long TIMEOUT_MICROS = 500_000;
    /** The same during a surge, where each further 100 ms of two halves that both use the whole quota shows. */
    private static final long SURGE_TIMEOUT_MICROS = 160_000;

    /**
     * How late a neighbour may hear of a new view: until then it sends to its former neighbours. Shorter takes those
     * that are late for unreachable, and gives up their part of the quota; longer notices a partition later.
     */
    private static final long VIEW_CHANGE_GRACE_MICROS = 400_000;

    private static final int PARENT = 0;

    private SessionView view = SessionView.of(List.of());
    private int selfIndex = -1;
    /** The indexes of the neighbours in the view, -1 for none. */
    private int[] indexes = {-1, -1, -1};

    private final long[] lastSentAt = new long[COUNT];
    private final long[] lastReceivedAt = new long[COUNT];
    private final int[] reachableBehind = new int[COUNT];
    private final boolean[] timedOut = new boolean[COUNT];
    private boolean surge;
    private long surgeStartedAt;

    /** Takes over a new view, in which everybody counts as reachable until a timeout says otherwise. */
    void onViewChange(SessionView next, int nextSelfIndex, long now) {
        view = next;
        selfIndex = nextSelfIndex;
        indexes = next.heapNeighbours(nextSelfIndex);
        surgeStartedAt = now + VIEW_CHANGE_GRACE_MICROS;
        Arrays.fill(lastReceivedAt, now + VIEW_CHANGE_GRACE_MICROS);
        Arrays.fill(lastSentAt, 0);
        Arrays.fill(timedOut, false);
        for (int link = 0; link < COUNT; link++) {
            reachableBehind[link] = membersBehind(link);
        }
    }

    private int membersBehind(int link) {
        if (indexes[link] < 0) {
            return 0;
        }
        return link == PARENT ? memberCount() - subtreeSize(selfIndex) : subtreeSize(indexes[link]);
    }

    /** How many members the heap has from an index downwards, level by level. */
    private int subtreeSize(int root) {
        int size = 0;
        int width = 1;
        for (int first = root; first >= 0 && first < view.size(); first = 2 * first + 1) {
            size += Math.min(width, view.size() - first);
            width *= 2;
        }
        return size;
    }

    /** How many members share the quota; a proxy without a view is alone. */
    int memberCount() {
        return Math.max(1, view.size());
    }

    /** The indexes of the neighbours in the view, -1 for none; not to be changed. */
    int[] indexes() {
        return indexes;
    }

    int index(int link) {
        return indexes[link];
    }

    /** Whether some tenant uses so much that the short timeout is to hold from now on. */
    void setSurge(boolean nextSurge, long now) {
        surgeStartedAt = nextSurge && !surge ? now : surgeStartedAt;
        surge = nextSurge;
    }

    /** A member was heard; {@code reachable}: how many members it reaches without us. */
    void onUpdateReceived(int memberIndex, int reachableMembers, long now) {
        for (int link = 0; link < COUNT; link++) {
            if (indexes[link] >= 0 && indexes[link] == memberIndex) {
                lastReceivedAt[link] = Math.max(lastReceivedAt[link], now);
                timedOut[link] = false;
                reachableBehind[link] = reachableMembers;
            }
        }
    }

    void onSent(int link, long now) {
        lastSentAt[link] = now;
    }

    long lastSentAt(int link) {
        return lastSentAt[link];
    }

    /**
     * How many members can be reached, this one included, without using one of the links.
     *
     * @param withoutLink the link to leave out, or -1 for none
     */
    int reachableMembers(int withoutLink, long now) {
        int reachable = 1;
        for (int link = 0; link < COUNT; link++) {
            if (link != withoutLink && isAlive(link, now)) {
                reachable += reachableBehind[link];
            }
        }
        return Math.min(memberCount(), reachable);
    }

    /** A neighbour that has timed out stays so until it is heard, also when the end of a surge raises the timeout. */
    private boolean isAlive(int link, long now) {
        timedOut[link] |= now - lastReceivedAt[link] > TIMEOUT_MICROS
                || surge && now - Math.max(lastReceivedAt[link], surgeStartedAt) > SURGE_TIMEOUT_MICROS;
        return indexes[link] >= 0 && !timedOut[link];
    }
}
