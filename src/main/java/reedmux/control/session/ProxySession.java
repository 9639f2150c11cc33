package reedmux.control.session;

/**
 * A proxy that holds a session with a registry.
 *
 * @param life drawn anew at each start of its process
 */
public record ProxySession(String node, String ip, String zone, long incarnation) implements Comparable<ProxySession> {

    // Written out, as what a record brings is linked at run time, in the middle of a start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ProxySession session
                && incarnation == session.incarnation
                && node.equals(session.node)
                && ip.equals(session.ip)
                && zone.equals(session.zone);
    }

    @Override
    public int hashCode() {
        return 31 * node.hashCode() + Long.hashCode(incarnation);
    }

    @Override
    public int compareTo(ProxySession other) {
        int byNode = node.compareTo(other.node);
        return byNode != 0 ? byNode : Long.compare(incarnation, other.incarnation);
    }
}
