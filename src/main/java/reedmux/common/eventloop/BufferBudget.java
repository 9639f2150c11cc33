package reedmux.common.eventloop;

import java.util.ArrayList;
import java.util.List;

/**
 * Bounds the memory of all buffers of a process that its peers can make grow. Each owner of buffers reports their size
 * to an account of its own. {@link #enforce()} frees the largest accounts while the accounts together exceed the limit,
 * so that one peer that sends without end, or does not read, cannot exhaust the memory of the others.
 *
 * <p>Owners that can slow their peers down do so earlier, as soon as a buffer exceeds its {@link #threshold}. Because
 * the threshold shrinks with the remaining budget, any number of such buffers share the budget evenly.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
public final class BufferBudget {
    /** The threshold of each buffer is the remaining budget divided by this number. */
    private static final int THRESHOLD_DIVISOR = 16;

    /** The owner of the buffers of one account. */
    public interface BufferOwner {

        /**
         * Called by {@link BufferBudget#enforce()} on the owner of the largest buffers. The owner releases them, and
         * ends the work that they belong to.
         */
        void onBudgetExceeded();
    }

    /** The buffers of one owner. */
    public final class Account {
        private static final int NOT_LISTED = -1;

        private final BufferOwner owner;
        private long bytes;
        private int index = NOT_LISTED;

        private Account(BufferOwner owner) {
            this.owner = owner;
        }

        /** Returns the size of the owner's buffers in bytes, as it was reported last. */
        public long bytes() {
            return bytes;
        }

        /** Reports the present size of the owner's buffers in bytes; 0 closes the account until the next report. */
        public void report(long newBytes) {
            totalBytes += newBytes - bytes;
            bytes = newBytes;
            if (newBytes == 0) {
                remove(this);
            } else if (index == NOT_LISTED) {
                index = accounts.size();
                accounts.add(this);
            }
        }
    }

    private final long limitBytes;
    private long totalBytes;
    private long releasedOwners;
    /** The accounts that are not empty, in no particular order. */
    private final List<Account> accounts = new ArrayList<>();

    /** Creates a budget without accounts, for buffers of {@code limitBytes} in total. */
    public BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a new, empty account. */
    public Account openAccount(BufferOwner owner) {
        return new Account(owner);
    }

    /** Returns the size of all buffers in bytes. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the maximum size of all buffers in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the number of owners that had to release their buffers since the start. */
    public long releasedOwners() {
        return releasedOwners;
    }

    /**
     * Returns the size in bytes from which on a buffer must not grow as long as its owner can prevent it.
     *
     * @param maxBytes the maximum of the result
     */
    public long threshold(long maxBytes) {
        return Math.max(0, Math.min(maxBytes, (limitBytes - totalBytes) / THRESHOLD_DIVISOR));
    }

    /**
     * Has the owners of the largest accounts release their buffers until the limit is kept, or until no owner releases
     * anything.
     *
     * @return the number of owners that had to release their buffers
     */
    int enforce() {
        int released = 0;
        while (totalBytes > limitBytes) {
            Account largest = largestAccount();
            long previousTotal = totalBytes;
            largest.owner.onBudgetExceeded();
            if (totalBytes >= previousTotal) {
                break;
            }
            released++;
        }
        releasedOwners += released;
        return released;
    }

    private Account largestAccount() {
        Account largest = accounts.get(0);
        for (Account account : accounts) {
            if (account.bytes > largest.bytes) {
                largest = account;
            }
        }
        return largest;
    }

    private void remove(Account account) {
        if (account.index == Account.NOT_LISTED) {
            return;
        }
        Account last = accounts.remove(accounts.size() - 1);
        if (last != account) {
            accounts.set(account.index, last);
            last.index = account.index;
        }
        account.index = Account.NOT_LISTED;
    }
}
