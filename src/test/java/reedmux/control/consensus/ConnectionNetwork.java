package reedmux.control.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;

/** Connections that keep the order of their messages, each way; messages of different connections overtake. */
final class ConnectionNetwork implements VirtualNetwork {
    /** By {@code from>to} what is under way. */
    private final Map<String, Deque<Runnable>> queues = new TreeMap<>();

    private final ChangingCoreCluster cluster;
    /** Picks which connection delivers next. */
    IntUnaryOperator connectionChooser = many -> 0;

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

    /** Takes what a node has sent out of the network, to be delivered by {@link #resume}. */
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
