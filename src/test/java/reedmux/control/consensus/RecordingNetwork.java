package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.List;

/** Records what one node sends, and delivers nothing. */
final class RecordingNetwork implements VirtualNetwork {
    final List<String> sent = new ArrayList<>();

    @Override
    public void send(String from, String to, String description, Runnable delivery) {
        sent.add(description);
    }
}
