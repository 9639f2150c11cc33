package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * A call of the operator that is held until it is known whether it comes into force.
 *
 * @param ballot of the last attempt to decide on it that its holder has taken part in
 * @param precommitted whether a quorum was found to hold it: it comes into force once a quorum holds it so
 */
public record Proposal(String id, Ballot ballot, List<ConfigurationItem> items, boolean precommitted) {
    public Proposal {
        items = new ArrayList<>(items);
    }

    public Proposal(String call, Ballot ballot, List<ConfigurationItem> items) {
        this(call, ballot, items, false);
    }

    // Written out, as what a record brings is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Proposal proposal
                && id.equals(proposal.id)
                && ballot.equals(proposal.ballot)
                && items.equals(proposal.items)
                && precommitted == proposal.precommitted;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }

    /** The same under a further ballot. */
    Proposal withBallot(Ballot next) {
        return new Proposal(id, next, items, precommitted);
    }

    Proposal asPrecommitted() {
        return new Proposal(id, ballot, items, true);
    }
}
