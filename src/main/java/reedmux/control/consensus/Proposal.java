package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * A proposed change of the configuration. Its items are committed atomically.
 *
 * @param id unique in the whole system
 * @param ballot the ballot of the last attempt at this proposal in which the node that holds this copy took part
 * @param precommitted whether a quorum is known to have prepared the proposal; it is committed once a quorum has it
 *     marked as precommitted
 */
public record Proposal(String id, Ballot ballot, List<ConfigurationItem> items, boolean precommitted) {
    /** Creates a proposal with a copy of the items. */
    public Proposal {
        items = new ArrayList<>(items);
    }

    /** Creates a proposal that is not precommitted. */
    public Proposal(String id, Ballot ballot, List<ConfigurationItem> items) {
        this(id, ballot, items, false);
    }

    // Implemented explicitly because the generated methods of a record are linked on first use, which delays startup.
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

    /** Returns this proposal with the ballot of another attempt. */
    Proposal withBallot(Ballot next) {
        return new Proposal(id, next, items, precommitted);
    }

    /** Returns this proposal, marked as prepared by a quorum. */
    Proposal asPrecommitted() {
        return new Proposal(id, ballot, items, true);
    }
}
