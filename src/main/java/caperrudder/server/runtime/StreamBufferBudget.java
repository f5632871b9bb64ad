package caperrudder.server.runtime;

/**
 * The memory for what passes through: one sum, from the limit that the gateway was told, shared evenly by all that
 * stream at a time. Whatever streams asks for its window when it begins.
 */
public final class StreamBufferBudget {
    private static final int HELD_MAX = 64 * 1024; // a longer message is passed on as it comes
    private static final int WINDOW_MAX = 64 * 1024;
    private static final int WINDOW_MIN = 4 * 1024;
    private static final long SHARE = 24; // of the memory told: the rest is the program's and what is held whole
    private static final long KEPT_SHARE = 4; // of those, for what clients send ahead of their turn

    private final long bytes;
    private int streams;
    private long keptBytes; // of what clients send ahead, beyond what each of them may

    public StreamBufferBudget(int memoryMb) {
        this.bytes = (long) memoryMb * 1024 * 1024 / SHARE;
    }

    /** The longest message that is held whole; less where many stream. */
    int held() {
        return Math.min(HELD_MAX, window());
    }

    /**
     * How much of a message must have come before it is passed on. Of one that announces to be long a little does:
     * enough to tell it from one whose length is a lie, which is better tried elsewhere.
     */
    public int passedFrom(long announced) {
        return announced > held() ? Math.min(WINDOW_MIN, held()) : held();
    }

    public int window() {
        return (int) Math.max(WINDOW_MIN, Math.min(WINDOW_MAX, bytes / Math.max(1, streams + 1)));
    }

    /** Whether more may be kept of what clients send ahead while their requests wait. */
    public boolean keepsMore() {
        return keptBytes < bytes / KEPT_SHARE;
    }

    /** So many bytes more are kept of that, or fewer where negative. */
    public void keep(int moreBytes) {
        keptBytes += moreBytes;
    }

    public void began() {
        streams++;
    }

    public void ended() {
        streams--;
    }
}
