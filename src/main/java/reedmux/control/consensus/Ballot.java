package reedmux.control.consensus;

/**
 * The number of an attempt to decide on a proposal, and whose attempt it is: of two attempts the one with the
 * higher number goes before, and of two with one number that of the node whose name comes last.
 */
public record Ballot(long number, String proposer) implements Comparable<Ballot> {

    // Written out, as what a record brings is linked at run time, in the middle of a start.
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
