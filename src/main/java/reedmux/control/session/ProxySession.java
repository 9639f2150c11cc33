package reedmux.control.session;

/**
 * A session of a proxy with a registry.
 *
 * @param node the name of the proxy's machine, which has one session at a time
 * @param incarnation identifies the proxy's process; chosen when the process starts
 */
public record ProxySession(String node, String ip, String zone, long incarnation) implements Comparable<ProxySession> {

    // Implemented explicitly because the methods generated for a record are linked at run time, which delays startup.
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
