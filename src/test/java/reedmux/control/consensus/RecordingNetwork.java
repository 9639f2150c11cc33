package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.List;

/** Records the messages that one node sends and delivers none of them. */
final class RecordingNetwork implements VirtualNetwork {
    final List<String> sent = new ArrayList<>();

    @Override
    public void send(String from, String to, String description, Runnable delivery) {
        sent.add(description);
    }
}
