package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * A change of the configuration that is to be decided: all of its items are committed together, or none.
 *
 * @param id unique in the whole system
 * @param ballot of the last attempt to decide on it that the node which has it took part in
 * @param precommitted whether a quorum is known to have prepared it; it is committed once a quorum has it marked so
 */
public record Proposal(String id, Ballot ballot, List<ConfigurationItem> items, boolean precommitted) {
    /** Copies the items. */
    public Proposal {
        items = new ArrayList<>(items);
    }

    /** A proposal that is not precommitted. */
    public Proposal(String id, Ballot ballot, List<ConfigurationItem> items) {
        this(id, ballot, items, false);
    }

    // Written out: the generated methods of a record are linked on first use, which delays a start.
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

    /** The same proposal in another attempt. */
    Proposal withBallot(Ballot next) {
        return new Proposal(id, next, items, precommitted);
    }

    /** The same proposal, marked as prepared by a quorum. */
    Proposal asPrecommitted() {
        return new Proposal(id, ballot, items, true);
    }
}
