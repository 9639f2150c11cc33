package reedmux.control.consensus;

/**
 * The number of an attempt to decide. Ballots are ordered by number, and those with the same number by the name of the
 * proposer, so that two proposers never have the same one.
 *
 * @param proposer the ip of the node whose attempt it is
 */
public record Ballot(long number, String proposer) implements Comparable<Ballot> {

    // Written out: the generated methods of a record are linked on first use, which delays a start.
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
