package reedmux.item;

import java.util.ArrayList;
import java.util.List;

/**
 * A call of the operator that is held until it is known whether it comes into force.
 *
 * @param ballot of the last attempt to decide on it that its holder has taken part in
 * @param precommitted whether a quorum was found to hold it: it comes into force once a quorum holds it so
 */
public record Proposal(String call, Ballot ballot, List<Item> items, boolean precommitted) {
    public Proposal {
        items = new ArrayList<>(items);
    }

    public Proposal(String call, Ballot ballot, List<Item> items) {
        this(call, ballot, items, false);
    }

    // Written out, as what a record brings is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Proposal proposal
                && call.equals(proposal.call)
                && ballot.equals(proposal.ballot)
                && items.equals(proposal.items)
                && precommitted == proposal.precommitted;
    }

    @Override
    public int hashCode() {
        return call.hashCode();
    }

    /** The same under a further ballot. */
    Proposal under(Ballot next) {
        return new Proposal(call, next, items, precommitted);
    }

    Proposal precommit() {
        return new Proposal(call, ballot, items, true);
    }
}
