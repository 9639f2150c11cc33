package reedmux.control.consensus;

/**
 * The ballot of one attempt to decide on a proposal. Ballots are ordered by number, and ballots with the same number by
 * the IP address of the proposer, so two proposers never use the same ballot.
 *
 * @param proposer the IP address of the node that makes the attempt
 */
public record Ballot(long number, String proposer) implements Comparable<Ballot> {

    // Implemented explicitly because the generated methods of a record are linked on first use, which delays startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof Ballot ballot && number == ballot.number && proposer.equals(ballot.proposer);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(number) * 31 + proposer.hashCode();
    }

    @Override
    public String toString() {
        return number + " of " + proposer;
    }

    @Override
    public int compareTo(Ballot other) {
        return number != other.number ? Long.compare(number, other.number) : proposer.compareTo(other.proposer);
    }
}
