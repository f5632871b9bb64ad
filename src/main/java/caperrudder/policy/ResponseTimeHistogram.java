package caperrudder.policy;

/** How long requests of a class take, from their arrival, as multiples of what their size makes expected. */
final class ResponseTimeHistogram {
    private static final int BINS = 16;
    private static final double FIRST_EDGE = 0.25;
    private static final double EDGE_RATIO = 1.25;
    private static final double KEPT = 0.99; // of the counts, at each further answer

    private final double[] counts = new double[BINS];
    private double total;

    void add(double multiple) {
        for (int bin = 0; bin < BINS; bin++) {
            counts[bin] *= KEPT;
        }
        counts[binOf(multiple)]++;
        total = total * KEPT + 1;
    }

    private static int binOf(double multiple) {
        int bin = 0;
        while (bin < BINS - 1 && multiple > edge(bin)) {
            bin++;
        }
        return bin;
    }

    private static double edge(int bin) {
        return FIRST_EDGE * Math.pow(EDGE_RATIO, bin);
    }

    /** The share of answers that take no more than so many times the expected; 1 before any. */
    double shareWithin(double multiple) {
        double within = 1;
        for (int bin = 0; bin < BINS; bin++) {
            double lower = bin == 0 ? 0 : edge(bin - 1);
            within += counts[bin] * Math.max(0, Math.min(1, (multiple - lower) / (edge(bin) - lower)));
        }
        return within / (total + 1);
    }
}
