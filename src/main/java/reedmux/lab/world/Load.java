package reedmux.lab.world;

/** What the processes of one role on one machine have done, whichever life of them it was. */
final class Load {
    long sent;
    long got;
    long messages;
    long events;
    /** Time on the processor of this program, nanoseconds; sockets cost nothing here. */
    long nanos;

    /** What was added since an earlier look. */
    Load less(Load before) {
        Load gone = new Load();
        gone.sent = sent - before.sent;
        gone.got = got - before.got;
        gone.messages = messages - before.messages;
        gone.events = events - before.events;
        gone.nanos = nanos - before.nanos;
        return gone;
    }
}
