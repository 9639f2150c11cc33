package reedmux.item;

import java.util.ArrayList;
import java.util.List;

/**
 * A call of the operator that is held until it is known whether it comes into force.
 *
 * @param ballot of the last attempt to decide on it that its holder has taken part in
 */
public record Motion(String call, Ballot ballot, List<Item> items) {
    public Motion {
        items = new ArrayList<>(items);
    }

    // Written out, as what a record brings is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Motion motion && call.equals(motion.call) && ballot.equals(motion.ballot)
                && items.equals(motion.items);
    }

    @Override
    public int hashCode() {
        return call.hashCode();
    }

    /** The same under a further ballot. */
    Motion under(Ballot next) {
        return new Motion(call, next, items);
    }
}
