package reedmux.control.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;

/**
 * A network of connections that preserve the message order in each direction. Messages of different connections may
 * overtake each other.
 */
final class ConnectionNetwork implements VirtualNetwork {
    /** The messages in flight, by {@code from>to}. */
    private final Map<String, Deque<Runnable>> queues = new TreeMap<>();

    private final ChangingCoreCluster cluster;
    /** Selects the connection that delivers next. */
    IntUnaryOperator connectionChooser = connectionCount -> 0;

    ConnectionNetwork(ChangingCoreCluster cluster) {
        this.cluster = cluster;
    }

    @Override
    public void send(String from, String to, String description, Runnable delivery) {
        if (!cluster.maySend(from, to)) {
            return;
        }
        VirtualNode receiver = cluster.node(to);
        long incarnation = receiver.incarnation;
        queues.computeIfAbsent(from + '>' + to, key -> new ArrayDeque<>()).add(() -> {
            if (receiver.up && receiver.incarnation == incarnation) {
                delivery.run();
            }
        });
    }

    void deliverAll() {
        deliver(Integer.MAX_VALUE);
    }

    void deliver(int maxMessages) {
        for (int i = 0; i < maxMessages; i++) {
            queues.values().removeIf(Deque::isEmpty);
            List<String> ready = new ArrayList<>(queues.keySet());
            if (ready.isEmpty()) {
                return;
            }
            queues.get(ready.get(connectionChooser.applyAsInt(ready.size())))
                    .poll()
                    .run();
        }
    }

    void loseAll() {
        queues.clear();
    }

    void loseAllOf(String ip) {
        queues.keySet().removeIf(key -> key.startsWith(ip + '>') || key.endsWith('>' + ip));
    }

    /** Removes the messages in flight from a node, to be delivered after {@link #resume}. */
    Map<String, Deque<Runnable>> suspendAllFrom(String ip) {
        Map<String, Deque<Runnable>> suspended = new TreeMap<>();
        for (String key : List.copyOf(queues.keySet())) {
            if (key.startsWith(ip + '>')) {
                suspended.put(key, queues.remove(key));
            }
        }
        return suspended;
    }

    void resume(Map<String, Deque<Runnable>> suspended) {
        queues.putAll(suspended);
    }
}
