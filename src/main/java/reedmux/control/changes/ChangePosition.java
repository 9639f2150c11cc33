package reedmux.control.changes;

/**
 * How far a reader has come in the numbered changes of one process. A process that starts anew numbers its changes from
 * the beginning, so the number means something only together with the incarnation.
 *
 * @param incarnation of the process that numbers the changes; 0 stands for none
 * @param change the number of the last change that the reader has
 */
public record ChangePosition(long incarnation, long change) {
    /** The position of a reader that has nothing of a process yet. */
    public static final ChangePosition START = new ChangePosition(0, 0);
}
