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
        ProcessLoad gone = new ProcessLoad();
        gone.sentBytes = sentBytes - before.sentBytes;
        gone.receivedBytes = receivedBytes - before.receivedBytes;
        gone.messages = messages - before.messages;
        gone.events = events - before.events;
        gone.cpuNanos = cpuNanos - before.cpuNanos;
        return gone;
    }
}
