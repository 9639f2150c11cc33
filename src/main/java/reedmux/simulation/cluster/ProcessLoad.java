package reedmux.simulation.cluster;

/** Load counters of the processes with one role on one machine, summed over all their incarnations. */
final class ProcessLoad {
    long sentBytes;
    long receivedBytes;
    long messages;
    long events;
    /** CPU time of the program's own code in nanoseconds; simulated sockets use no CPU time of a kernel. */
    long cpuNanos;

    /** Returns the increase of each counter since an earlier snapshot. */
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
