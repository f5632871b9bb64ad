package caperrudder.server.http;

/**
 * The memory that the heads of requests hold, of all clients together: of heads that are being read, that wait their
 * turn and that are open. On the event loop only.
 */
public final class HeadMemory {
    /** One part in so many of the heap may be heads; the rest is the program's and that of its garbage. */
    private static final int HEAP_DIVISOR = 6;

    private final long limitBytes;
    private long heldBytes;

    /** A share of a heap that may grow to so many bytes. */
    public HeadMemory(long heapBytes) {
        this.limitBytes = heapBytes / HEAP_DIVISOR;
    }

    /** The bytes that are held now. */
    public long heldBytes() {
        return heldBytes;
    }

    /** A lease that holds nothing yet. */
    public Lease lease() {
        return new Lease();
    }

    /** What one head holds. */
    public final class Lease {
        private int bytes;
        private boolean closed;

        /** Holds so many bytes more; false, and nothing more is held, where the limit would be exceeded. */
        public boolean tryGrow(int moreBytes) {
            if (closed || heldBytes + moreBytes > limitBytes) {
                return false;
            }
            bytes += moreBytes;
            heldBytes += moreBytes;
            return true;
        }

        /** The bytes that this head holds. */
        public int bytes() {
            return bytes;
        }

        /** The head is held no more; once or often. */
        public void close() {
            closed = true;
            heldBytes -= bytes;
            bytes = 0;
        }
    }
}
