package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntUnaryOperator;

/** A network that delivers messages in any order. Nodes that are down neither send nor receive. */
final class UnorderedNetwork implements VirtualNetwork {
    private final List<Message> messages = new ArrayList<>();
    private final Set<String> down = new HashSet<>();

    private record Message(String from, String to, Runnable delivery) {}

    @Override
    public void send(String from, String to, String description, Runnable delivery) {
        if (!down.contains(from)) {
            messages.add(new Message(from, to, delivery));
        }
    }

    boolean isDown(String ip) {
        return down.contains(ip);
    }

    /** Marks a node as down: messages to it are lost on arrival. */
    void setDown(String ip) {
        down.add(ip);
    }

    void setUp(String ip) {
        down.remove(ip);
    }

    int size() {
        return messages.size();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    void lose(int index) {
        messages.remove(index);
    }

    void loseAll() {
        messages.clear();
    }

    void loseAllTo(String ip) {
        messages.removeIf(message -> message.to.equals(ip));
    }

    void loseAllOf(String ip) {
        messages.removeIf(message -> message.to.equals(ip) || message.from.equals(ip));
    }

    void deliver(int index) {
        Message message = messages.remove(index);
        if (!down.contains(message.to)) {
            message.delivery.run();
        }
    }

    /**
     * Delivers messages until none are left.
     *
     * @param choice selects the index of the next message, given the number of messages; negative if it has discarded
     *     them all
     */
    void deliverAll(IntUnaryOperator choice) {
        while (!messages.isEmpty()) {
            int next = choice.applyAsInt(messages.size());
            if (next >= 0) {
                deliver(next);
            }
        }
    }
}
