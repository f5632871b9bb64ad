package caperrudder.policy.scheduling;

/**
 * The distribution of response times of one traffic class, each counted from the request's arrival and taken as a
 * multiple of the time expected for a request of its size. Older samples fade exponentially.
 *
 * <p>Sixteen buckets whose upper bounds grow by a constant ratio, the last one open; memory is constant. Confined to
 * the policy's thread.
 */
public final class ResponseTimeHistogram {
    private static final int BUCKETS = 16;
    private static final double FIRST_BOUND = 0.25; // of the expected time
    private static final double BOUND_RATIO = 1.25; // between the bounds of neighbouring buckets
    private static final double RETENTION = 0.99; // of the counts, at each further sample

    private final double[] counts = new double[BUCKETS];
    private double total;

    /** Adds a sample; {@code multiple} is the response time over the expected time, 0 or more. */
    public void add(double multiple) {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            counts[bucket] *= RETENTION;
        }
        counts[bucketOf(multiple)]++;
        total = total * RETENTION + 1;
    }

    private static int bucketOf(double multiple) {
        int bucket = 0;
        while (bucket < BUCKETS - 1 && multiple > upperBound(bucket)) {
            bucket++;
        }
        return bucket;
    }

    private static double upperBound(int bucket) {
        return FIRST_BOUND * Math.pow(BOUND_RATIO, bucket);
    }

    /**
     * The share of responses, from 0 to 1, that take at most this multiple of the expected time, interpolated within
     * buckets. One sample within the limit is assumed beforehand, so the share is 1 before any sample.
     */
    public double shareWithin(double multiple) {
        double within = 1;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            double lower = bucket == 0 ? 0 : upperBound(bucket - 1);
            double upper = upperBound(bucket);
            within += counts[bucket] * Math.max(0, Math.min(1, (multiple - lower) / (upper - lower)));
        }
        return within / (total + 1);
    }
}
