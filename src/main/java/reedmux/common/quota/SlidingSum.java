package reedmux.common.quota;

/** A sum over the last few seconds, in slots of time. Times are microseconds. For one thread. */
final class SlidingSum {
    private static final long SLOT_MICROS = 50_000;
    /** What is older than all slots together is forgotten. */
    private static final int SLOTS = 104;

    /** Null as long as nothing was added, since most customers are seen once or never. */
    private float[] slots;

    private long lastSlot = Long.MIN_VALUE / 2;

    /** Adds an amount at a time that is not before any earlier one. */
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

    /** The sum of what was added in the last {@code micros}, rounded up to a slot; at least zero. */
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
