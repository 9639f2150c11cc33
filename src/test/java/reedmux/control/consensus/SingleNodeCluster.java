package reedmux.control.consensus;

import java.util.List;

/** A cluster of one real node, s0, whose messages are recorded. The other members exist by name only. */
final class SingleNodeCluster extends VirtualCluster {
    final RecordingNetwork recorder = new RecordingNetwork();
    final VirtualNode node;

    SingleNodeCluster(PersistentCoreState coreOnDisk, boolean complete) {
        network = recorder;
        node = add("s0", "n0", coreOnDisk);
        node.start(complete);
    }

    static SingleNodeCluster ofMembers(String... ips) {
        return new SingleNodeCluster(firstCore(CoreMembers.initial(List.of(ips))), true);
    }

    /** Returns the last message that was sent. */
    String lastSent() {
        return recorder.sent.get(recorder.sent.size() - 1);
    }

    /** Returns all messages except handover requests, which are repeated. */
    List<String> sentBesidesHandoverRequests() {
        return recorder.sent.stream()
                .filter(message -> !message.equals("handover request"))
                .toList();
    }
}
