package reedmux.simulation.cluster;

/** What the processes of one role on one machine have done, whichever life of them it was. */
final class ProcessLoad {
    long sentBytes;
    long receivedBytes;
    long messages;
    long events;
    /** Time on the processor of this program, nanoseconds; sockets cost nothing here. */
    long cpuNanos;

    /** What was added since an earlier look. */
    ProcessLoad since(ProcessLoad before) {
        ProcessLoad difference = new ProcessLoad();
        difference.sentBytes = sentBytes - before.sentBytes;
        difference.receivedBytes = receivedBytes - before.receivedBytes;
        difference.messages = messages - before.messages;
        difference.events = events - before.events;
        difference.cpuNanos = cpuNanos - before.cpuNanos;
        return difference;
    }
}
