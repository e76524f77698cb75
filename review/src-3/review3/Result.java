package review3;

/** The result of a case, with the exit status of its script. */
public enum Result {
    /** The rule held. */
    HELD(0),
    /** The rule was broken. */
    BROKEN(1),
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
