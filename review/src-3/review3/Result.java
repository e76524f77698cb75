package review3;

/**
 * The result of a case, with the exit status of its program. That of a broken rule is none that Java uses itself; the
 * scripts turn it into 1, and every other one but 0 into 2.
 */
public enum Result {
    /** The rule held. */
    HELD(0),
    /** The rule was broken. */
    BROKEN(10),
    /** The case could not be played. */
    FAILED(2);

    private final int status;

    Result(int status) {
        this.status = status;
    }

    /** Returns the exit status. */
    public int status() {
        return status;
    }
}
