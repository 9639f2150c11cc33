package reedmux.member;

/**
 * A proxy that holds a session with a registry.
 *
 * @param life drawn anew at each start of its process
 */
public record Session(String node, String ip, String zone, long life) implements Comparable<Session> {

    // Written out, as what a record brings is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Session session
                && life == session.life
                && node.equals(session.node)
                && ip.equals(session.ip)
                && zone.equals(session.zone);
    }

    @Override
    public int hashCode() {
        return 31 * node.hashCode() + Long.hashCode(life);
    }

    @Override
    public int compareTo(Session other) {
        int byNode = node.compareTo(other.node);
        return byNode != 0 ? byNode : Long.compare(life, other.life);
    }
}
