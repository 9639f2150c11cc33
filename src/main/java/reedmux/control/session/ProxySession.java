package reedmux.control.session;

/**
 * The session of a proxy with a registry.
 *
 * @param node the name of the proxy's machine; a node has one session at a time
 * @param incarnation drawn at the start of the proxy's process
 */
public record ProxySession(String node, String ip, String zone, long incarnation) implements Comparable<ProxySession> {

    // Written out, as the generated methods of records are linked at run time, which delays the start of a program.
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
