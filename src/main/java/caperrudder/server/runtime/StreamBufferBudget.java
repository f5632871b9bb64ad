package caperrudder.server.runtime;

/**
 * The memory for messages that are streamed: one sum, a share of the memory that the configuration grants, divided
 * evenly between all streams that are open. On the event loop only.
 */
public final class StreamBufferBudget {
    /** A longer message is streamed and not held. */
    private static final int BUFFERED_MAX_BYTES = 64 * 1024;

    private static final int WINDOW_MAX_BYTES = 64 * 1024;
    private static final int WINDOW_MIN_BYTES = 4 * 1024;
    /** One part in so many of the memory granted; the rest is the program's and that of messages held. */
    private static final long MEMORY_DIVISOR = 24;
    /** One part in so many of the budget, for requests that clients pipeline. */
    private static final long PIPELINED_DIVISOR = 4;

    private final long budgetBytes;
    private int streams;
    private long pipelinedBytes; // beyond what each connection may hold by itself

    /** A budget from {@code memoryMb} MiB that the process may use. */
    public StreamBufferBudget(int memoryMb) {
        this.budgetBytes = (long) memoryMb * 1024 * 1024 / MEMORY_DIVISOR;
    }

    /** The longest message in bytes that is held before it is forwarded; less where many are streamed. */
    public int bufferedMaxBytes() {
        return Math.min(BUFFERED_MAX_BYTES, windowBytes());
    }

    /**
     * How many bytes of a message must have come before it is forwarded. Of one that announces to be long a few do:
     * enough to tell it from one whose length is wrong, which is better retried on another host.
     */
    public int streamedFromBytes(long announcedBytes) {
        return announcedBytes > bufferedMaxBytes()
                ? Math.min(WINDOW_MIN_BYTES, bufferedMaxBytes())
                : bufferedMaxBytes();
    }

    /** How many bytes one more stream may hold: 4 to 64 KiB. */
    public int windowBytes() {
        return (int) Math.max(WINDOW_MIN_BYTES, Math.min(WINDOW_MAX_BYTES, budgetBytes / Math.max(1, streams + 1)));
    }

    /** Whether more of the requests that clients pipeline may be held. */
    public boolean hasPipelineRoom() {
        return pipelinedBytes < budgetBytes / PIPELINED_DIVISOR;
    }

    /** So many more bytes of pipelined requests are held, or fewer where negative. */
    public void addPipelinedBytes(int moreBytes) {
        pipelinedBytes += moreBytes;
    }

    /** A stream was opened. */
    public void streamOpened() {
        streams++;
    }

    /** A stream was closed. */
    public void streamClosed() {
        streams--;
    }
}
