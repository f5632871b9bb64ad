package caperrudder.policy.scheduling;

/**
 * The distribution of the response times of one traffic class. A response time runs from the arrival of the request. It
 * is recorded as a multiple of the latency expected for a request of its size. Older samples decay exponentially.
 *
 * <p>The upper bounds of the buckets form a geometric series; the last bucket also takes all higher samples. Confined
 * to the policy's thread.
 */
public final class ResponseTimeHistogram {
    private static final int BUCKET_COUNT = 16;
    private static final double FIRST_UPPER_BOUND = 0.25; // as a multiple of the expected latency
    private static final double UPPER_BOUND_RATIO = 1.25; // between adjacent buckets
    private static final double COUNT_RETENTION = 0.99; // of all counts at each new sample

    private final double[] counts = new double[BUCKET_COUNT];
    private double totalCount;

    /** Adds a sample; {@code multiple} is the response time divided by the expected latency, 0 or more. */
    public void addSample(double multiple) {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            counts[bucket] *= COUNT_RETENTION;
        }
        counts[bucketOf(multiple)]++;
        totalCount = totalCount * COUNT_RETENTION + 1;
    }

    private static int bucketOf(double multiple) {
        int bucket = 0;
        while (bucket < BUCKET_COUNT - 1 && multiple > upperBound(bucket)) {
            bucket++;
        }
        return bucket;
    }

    private static double upperBound(int bucket) {
        return FIRST_UPPER_BOUND * StrictMath.pow(UPPER_BOUND_RATIO, bucket);
    }

    /**
     * Returns the share of responses, from 0 to 1, that take at most this multiple of the expected latency,
     * interpolated within buckets. The estimate starts with one assumed sample within the limit, so it is 1 before the
     * first sample.
     */
    public double shareWithin(double multiple) {
        double withinCount = 1;
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            double lower = bucket == 0 ? 0 : upperBound(bucket - 1);
            double upper = upperBound(bucket);
            withinCount += counts[bucket] * Math.max(0, Math.min(1, (multiple - lower) / (upper - lower)));
        }
        return withinCount / (totalCount + 1);
    }
}
