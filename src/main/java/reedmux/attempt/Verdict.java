package reedmux.attempt;

/** What is known of whether a request has run at a checker that it was sent to. */
public enum Verdict {
    /** It has not run there and never will: it never came up, was never whole, or the checker says so. */
    NOT_RUN,
    /** It went out, and nothing clear came back. */
    MAY_HAVE_RUN,
    /** Its answer has come. */
    RAN;

    /** Whether the request may go to another checker without any risk that it runs twice. */
    public boolean safe() {
        return this == NOT_RUN;
    }
}
