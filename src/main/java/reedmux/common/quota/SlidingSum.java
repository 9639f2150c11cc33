package reedmux.common.quota;

/** Sums amounts over a sliding window of a few seconds, divided into time slots. Times are in microseconds. */
final class SlidingSum {
    private static final long SLOT_MICROS = 50_000;
    /** Number of slots; amounts older than all slots together (5.2 seconds) are discarded. */
    private static final int SLOTS = 104;

    /** Allocated with the first amount, because most customers are seen once or never. */
    private float[] slots;

    private long lastSlot = Long.MIN_VALUE / 2;

    /** Adds an amount. The time must not be earlier than that of any previous call. */
    void add(double amount, long now) {
        if (amount == 0) {
            return;
        }
        if (slots == null) {
            slots = new float[SLOTS];
        }
        advance(now);
        slots[indexOf(lastSlot)] += (float) amount;
    }

    /** Returns the sum of the amounts added in the last {@code micros}, rounded up to a full slot; never negative. */
    double sumOfLast(long micros, long now) {
        if (slots == null) {
            return 0;
        }
        advance(now);
        long count = Math.min(SLOTS, micros / SLOT_MICROS + 1);
        double sum = 0;
        for (long slot = lastSlot; slot > lastSlot - count; slot--) {
            sum += slots[indexOf(slot)];
        }
        return Math.max(0, sum);
    }

    private void advance(long now) {
        long slot = now / SLOT_MICROS;
        for (long next = Math.max(lastSlot + 1, slot - SLOTS + 1); next <= slot; next++) {
            slots[indexOf(next)] = 0;
        }
        lastSlot = Math.max(lastSlot, slot);
    }

    private static int indexOf(long slot) {
        return (int) Math.floorMod(slot, (long) SLOTS);
    }
}
