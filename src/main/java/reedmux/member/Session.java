package reedmux.member;

/**
 * A proxy that holds a session with a registry.
 *
 * @param life drawn anew at each start of its process
 */
public record Session(String node, String ip, String zone, long life) implements Comparable<Session> {

    @Override
    public int compareTo(Session other) {
        int byNode = node.compareTo(other.node);
        return byNode != 0 ? byNode : Long.compare(life, other.life);
    }
}
