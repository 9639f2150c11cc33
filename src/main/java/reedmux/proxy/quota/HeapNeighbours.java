package reedmux.proxy.quota;

import java.util.Arrays;
import java.util.List;
import reedmux.common.quota.HeapCounter;
import reedmux.control.session.SessionView;

/**
 * Tracks which of this proxy's neighbours in the heap (parent, left child and right child, in this order) send updates,
 * and how many members can be reached through each of them. Times are in microseconds.
 */
final class HeapNeighbours {
    static final int COUNT = HeapCounter.NEIGHBOUR_COUNT;
    /**
     * Time without an update after which a neighbour and all members behind it count as unreachable. A shorter timeout
     * detects a partition sooner; a longer one tolerates links that are congested for a while without reserving part of
     * the quota for these members.
     */
    private static final long TIMEOUT_MICROS = 500_000;
    /**
     * The timeout during a surge. Until it expires, both sides of a partition use the whole quota, and in a surge each
     * further 100 ms of that is noticeable.
     */
    private static final long SURGE_TIMEOUT_MICROS = 160_000;

    /**
     * How much later a neighbour may receive a new view; until then it sends to its former neighbours. With a shorter
     * time, neighbours that are late count as unreachable and their part of the quota is reserved; a longer one detects
     * a partition later.
     */
    private static final long VIEW_CHANGE_GRACE_MICROS = 400_000;

    private static final int PARENT = 0;

    private SessionView view = SessionView.of(List.of());
    private int selfIndex = -1;
    /** Member indexes of the neighbours in the view; -1 if there is no such neighbour. */
    private int[] indexes = {-1, -1, -1};

    private final long[] lastSentAt = new long[COUNT];
    private final long[] lastReceivedAt = new long[COUNT];
    private final int[] reachableBehind = new int[COUNT];
    private final boolean[] timedOut = new boolean[COUNT];
    private boolean surge;
    private long surgeStartedAt;

    /** Switches to a new view, in which all members count as reachable until a timeout expires. */
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

    /** Returns the number of members in the subtree below and including an index, summed level by level. */
    private int subtreeSize(int root) {
        int size = 0;
        int width = 1;
        for (int first = root; first >= 0 && first < view.size(); first = 2 * first + 1) {
            size += Math.min(width, view.size() - first);
            width *= 2;
        }
        return size;
    }

    /** Returns the number of members that share the quota; 1 for a proxy without a view. */
    int memberCount() {
        return Math.max(1, view.size());
    }

    /** Returns the member indexes of the neighbours, -1 if there is none; callers must not modify the array. */
    int[] indexes() {
        return indexes;
    }

    int index(int link) {
        return indexes[link];
    }

    /** Sets whether some tenant uses so much of its burst that the shorter timeout applies. */
    void setSurge(boolean nextSurge, long now) {
        surgeStartedAt = nextSurge && !surge ? now : surgeStartedAt;
        surge = nextSurge;
    }

    /** Records an update from a member, which can reach {@code reachableMembers} members without this proxy. */
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
     * Returns how many members can be reached, including this one, without using one of the links.
     *
     * @param withoutLink the link to leave out, or -1 to use all links
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

    /**
     * A neighbour that timed out stays unreachable until its next update, even if the end of a surge raises the
     * timeout.
     */
    private boolean isAlive(int link, long now) {
        timedOut[link] |= now - lastReceivedAt[link] > TIMEOUT_MICROS
                || surge && now - Math.max(lastReceivedAt[link], surgeStartedAt) > SURGE_TIMEOUT_MICROS;
        return indexes[link] >= 0 && !timedOut[link];
    }
}
