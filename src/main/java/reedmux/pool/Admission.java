package reedmux.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which requests of which pool are let in: of those in flight, and of the bytes that they hold, each
 * pool has a part by its weight, may borrow what the others leave, and has its own back at once. For that, a
 * pool that is within its own part is let in even while what it lent is still out: both numbers may so pass
 * their bound by as much as is lent, which is why the bounds are set at half of what there is room for.
 *
 * <p>Times are microseconds. Owned by the thread that runs the turns.
 */
public final class Admission {
    /** The share of a part that is not lent: what a pool can have without being over the bound. */
    private static final double RESERVE = 0.5;
    /** Advice to those who are turned away, before anything is known, and its bounds. */
    private static final long FIRST_ADVICE = 100_000;

    private static final long LEAST_ADVICE = 20_000;
    private static final long MOST_ADVICE = 5_000_000;
    /** The weight of one more request in the mean time that requests stay. */
    private static final double FADE = 0.05;
    /** Bytes are lent by the block. */
    private static final int BLOCK = 1024;

    /** A bound on pools' own, whatever is idle elsewhere. */
    public record Most(int inFlight, long bytes) {}

    /** What was decided of a request: let in, or turned away with advice when to come back. */
    public record Verdict(boolean in, long retryAfter) {}

    private static final Verdict IN = new Verdict(true, 0);

    private static final class Member {
        Most most = new Most(Integer.MAX_VALUE, Long.MAX_VALUE);
        int inFlight;
        long blocks;
        double stay = FIRST_ADVICE;
    }

    private final Lending requests;
    private final int allRequests;
    private final int allBlocks;
    private final List<Member> members = new ArrayList<>();
    private final List<Integer> blockParts = new ArrayList<>();
    private long blocksUsed;

    /** Bounds over all pools: requests in flight, and bytes that they hold. */
    public Admission(int inFlight, long bytes) {
        requests = new Lending(inFlight, RESERVE);
        allRequests = inFlight;
        allBlocks = (int) Math.max(1, bytes / BLOCK);
    }

    /** Adds a pool without any part; returns its number. */
    public int add() {
        members.add(new Member());
        blockParts.add(0);
        return requests.add(0);
    }

    /** Sets all pools' parts by their weights, nought for one that is leaving. */
    public void weights(List<Double> weights, List<Most> most) {
        double sum = weights.stream().mapToDouble(Double::doubleValue).sum();
        for (boolean grow : new boolean[] {false, true}) {
            for (int i = 0; i < members.size(); i++) {
                int own = sum > 0 ? (int) (allRequests * weights.get(i) / sum) : 0;
                if (own > requests.own(i) == grow) {
                    requests.part(i, own);
                }
            }
        }
        for (int i = 0; i < members.size(); i++) {
            blockParts.set(i, sum > 0 ? (int) (allBlocks * weights.get(i) / sum) : 0);
            members.get(i).most = most.get(i);
        }
    }

    /** Decides on a request of so many bytes. */
    public Verdict admit(int pool, long bytes) {
        Member member = members.get(pool);
        long blocks = blocks(bytes);
        boolean fits = member.inFlight < member.most.inFlight()
                && (member.blocks + blocks) * BLOCK <= Math.max(BLOCK, member.most.bytes())
                && (member.blocks + blocks <= blockParts.get(pool) || blocksUsed + blocks + kept(pool) <= allBlocks);
        if (!fits || !take(pool)) {
            return new Verdict(false, advice(member));
        }
        member.inFlight++;
        member.blocks += blocks;
        blocksUsed += blocks;
        return IN;
    }

    private boolean take(int pool) {
        Lending.Answer answer = requests.take(pool);
        if (answer.verdict() == Lending.Verdict.RECLAIM) {
            requests.over(pool);
            return true;
        }
        return answer.verdict() == Lending.Verdict.GRANTED;
    }

    /** The verdict where a pool's queue is full. */
    public Verdict full(int pool) {
        return new Verdict(false, advice(members.get(pool)));
    }

    /** A request that had been let in is over. */
    public void ended(int pool, long bytes, long stayed) {
        Member member = members.get(pool);
        requests.give(pool);
        member.inFlight--;
        member.blocks -= blocks(bytes);
        blocksUsed -= blocks(bytes);
        if (stayed > 0) {
            member.stay += FADE * (stayed - member.stay);
        }
    }

    /** When there is likely to be room again: about when half of those in flight are over. */
    private static long advice(Member member) {
        return (long) Math.max(LEAST_ADVICE, Math.min(MOST_ADVICE, member.stay));
    }

    private static long blocks(long bytes) {
        return 1 + bytes / BLOCK;
    }

    /** Blocks that are kept for the other pools. */
    private long kept(int but) {
        long kept = 0;
        for (int i = 0; i < members.size(); i++) {
            if (i != but) {
                kept += Math.max(0, (long) (RESERVE * blockParts.get(i)) - members.get(i).blocks);
            }
        }
        return kept;
    }

    /** Requests of a pool that are in flight. */
    public int inFlight(int pool) {
        return members.get(pool).inFlight;
    }

    /** Bytes that a pool's requests hold, by the block. */
    public long bytes(int pool) {
        return members.get(pool).blocks * BLOCK;
    }
}
