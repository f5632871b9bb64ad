package caperrudder.policy.loadbalancing;

import caperrudder.api.Host;
import caperrudder.api.Idempotency;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;

/**
 * Picks the endpoint for an attempt: the one with the lowest score in a random sample of the subset. The only load that
 * scores include is the outstanding work of this gateway. In a large fleet that is mostly 0, and gateways that compared
 * their whole subsets would all send to the same endpoints. The sample size therefore grows with the number of
 * outstanding attempts, up to the whole subset.
 */
final class EndpointPicker {
    private static final int MIN_SAMPLE_SIZE = 2;
    private static final int SAMPLED_PER_OUTSTANDING_ATTEMPT = 2;
    private static final int MAX_DRAWS_PER_SAMPLED_ENDPOINT = 16; // most draws may be rejected
    private static final int MAX_FALLBACK_CANDIDATES = 1024; // compared if none of the subset can be used
    private static final double SIGNIFICANT_LATENCY_PENALTY = 2.2; // lower ones may be random variation
    /** Multiplies an endpoint's score for each earlier attempt of the request on it. */
    private static final double RETRY_PENALTY_FACTOR = OutlierScore.EJECTION_PENALTY;

    private static final double CROSS_ZONE_COST_RATIO = 0.05; // of a request's expected work
    private static final double MAX_TIE_BREAK_RATIO = 1e-3; // largest random increase of a score

    private final EndpointTable table;
    private final EndpointSubset subset;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final String zone;
    private final Random random;
    private int outstandingAttempts;

    /** {@code zone} is the zone of this gateway; {@code random} is shared by the whole policy. */
    EndpointPicker(
            EndpointTable table,
            EndpointSubset subset,
            SlowStart slowStart,
            LoadReports loadReports,
            String zone,
            Random random) {
        this.table = table;
        this.subset = subset;
        this.slowStart = slowStart;
        this.loadReports = loadReports;
        this.zone = zone;
        this.random = random;
    }

    /** Records the start of an attempt on an endpoint. */
    void recordAttemptStart(Endpoint endpoint, double expectedWorkMs) {
        endpoint.recordAttemptStart(expectedWorkMs);
        outstandingAttempts++;
    }

    /** Records the end of an attempt; {@code expectedWorkMs} must be that of {@link #recordAttemptStart}. */
    void recordAttemptEnd(Endpoint endpoint, double expectedWorkMs) {
        outstandingAttempts--;
        endpoint.recordAttemptEnd(expectedWorkMs);
    }

    /** Returns the endpoint for the next attempt, or null if none can be used now. */
    Endpoint pick(double now, PlacementRequest request) {
        Endpoint best = best(now, request, comparesWholeSubset() ? subset.endpoints() : sample(now, request), false);
        boolean warm = subset.isWarm(slowStart, now);
        if (warm) random.nextDouble(); // keeps the random sequence in step with drawSlowStart
        Endpoint warmingUp = warm ? null : drawSlowStart(now, request);
        if (warmingUp != null && (best == null || warmingUp.isIdle())) return warmingUp;
        if (best != null) return best;
        best = best(now, request, fallbackCandidates(request), true);
        if (best != null) slowStart.deductCredit(best);
        return best;
    }

    private int sampleSize() {
        return MIN_SAMPLE_SIZE + SAMPLED_PER_OUTSTANDING_ATTEMPT * outstandingAttempts;
    }

    private boolean comparesWholeSubset() {
        return sampleSize() >= subset.endpoints().size();
    }

    /**
     * Draws endpoints evenly from the subset, and accepts each with a probability of 1 / latency penalty. Returns fewer
     * than the sample size if too few are accepted.
     */
    private Collection<Endpoint> sample(double now, PlacementRequest request) {
        List<Endpoint> endpoints = subset.endpoints();
        int size = Math.min(endpoints.size(), sampleSize());
        LinkedHashSet<Endpoint> sample = new LinkedHashSet<>();
        for (int i = 0; i < size * MAX_DRAWS_PER_SAMPLED_ENDPOINT && sample.size() < size; i++) {
            Endpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
            double penalty = endpoint.latencyPenalty(now, request.className());
            if (random.nextDouble() * penalty <= 1) sample.add(endpoint);
        }
        return sample;
    }

    /**
     * Returns the candidates for a request that no endpoint of the subset can take: all usable endpoints or, if there
     * are too many, a limited number, starting at a random one. In the latter case, a retry with an idempotency key
     * gets its candidates only from the endpoints that drop repeats of the key.
     */
    private List<Endpoint> fallbackCandidates(PlacementRequest request) {
        boolean limitsToScope = table.usableCount() > MAX_FALLBACK_CANDIDATES
                && request.requestClass().idempotency() == Idempotency.IDEMPOTENCY_KEY;
        Host mayHaveRunOnHost = limitsToScope ? request.mayHaveRunOnHost() : null;
        Collection<RankedEndpoints> lists = mayHaveRunOnHost == null
                ? table.usable()
                : table.usableInScopeOf(request.requestClass().deduplicationScope(), mayHaveRunOnHost);
        int count = 0;
        for (RankedEndpoints list : lists) count += list.size();
        int first = count > MAX_FALLBACK_CANDIDATES ? random.nextInt(count) : 0;
        return RankedEndpoints.copyCircular(lists, first, Math.min(MAX_FALLBACK_CANDIDATES, count));
    }

    /**
     * Draws an endpoint of the subset by weight, and credits it if it is in slow start and the request may use it.
     * Returns it if it has then earned a request, otherwise null. Scores alone would leave endpoints in slow start
     * idle, because in a large fleet this gateway's own attempts do not show how loaded the warm endpoints are.
     */
    private Endpoint drawSlowStart(double now, PlacementRequest request) {
        Endpoint drawn = drawByWeight(now, request.className());
        boolean eligible = drawn != null && slowStart.isWarmingUp(drawn, now) && request.allows(drawn);
        return eligible && slowStart.accrueCredit(drawn, now) ? drawn : null;
    }

    private Endpoint drawByWeight(double now, String className) {
        List<Endpoint> endpoints = subset.endpoints();
        double total = endpoints.stream()
                .mapToDouble(endpoint -> weight(now, endpoint, className))
                .sum();
        double remaining = random.nextDouble() * total;
        for (Endpoint endpoint : endpoints) {
            remaining -= weight(now, endpoint, className);
            if (remaining > 0) continue;
            return endpoint;
        }
        return null; // the subset is empty, or rounding errors left a remainder
    }

    /** Returns an endpoint's weight for a class: 1 if warm and healthy with the mean load, 0 if not usable. */
    private double weight(double now, Endpoint endpoint, String className) {
        if (!endpoint.isUsable()) return 0;
        double penalty = Math.max(1, endpoint.latencyPenalty(now, className));
        return loadReports.weightCorrection(now, endpoint) * slowStart.capacityShare(endpoint, now) / penalty;
    }

    /**
     * Returns the candidate with the lowest score among the usable ones that the request may use, or null if there is
     * none. Endpoints in slow start get their requests by credit and are skipped here, unless {@code includeSlowStart}
     * is set. In that case each is considered with a probability of its allowed share / the number of candidates.
     */
    private Endpoint best(
            double now, PlacementRequest request, Collection<Endpoint> candidates, boolean includeSlowStart) {
        Endpoint best = null;
        double bestScore = Double.MAX_VALUE;
        for (Endpoint endpoint : candidates) {
            if (!endpoint.isUsable() || !request.allows(endpoint)) continue;
            if (slowStart.isWarmingUp(endpoint, now)
                    && (!includeSlowStart || !drawInclusion(now, endpoint, candidates.size()))) continue;
            double score = score(now, request, endpoint) * (1 + MAX_TIE_BREAK_RATIO * random.nextDouble());
            if (score < bestScore) best = endpoint;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    private boolean drawInclusion(double now, Endpoint endpoint, int candidateCount) {
        return random.nextDouble() * candidateCount <= slowStart.allowedShare(endpoint, now);
    }

    /**
     * Returns the time in ms that the endpoint would take for its outstanding work and the request. The latency
     * penalty, earlier attempts of the request on the endpoint, slow start and crossing zones increase the result.
     */
    private double score(double now, PlacementRequest request, Endpoint endpoint) {
        boolean wholeSubset = comparesWholeSubset();
        double penalty = endpoint.latencyPenalty(now, request.className());
        if (!wholeSubset && penalty < SIGNIFICANT_LATENCY_PENALTY) penalty = 1; // sample() took it into account
        for (Endpoint attempted : request.attemptedEndpoints()) {
            if (attempted == endpoint) penalty *= RETRY_PENALTY_FACTOR;
        }
        double workMs = request.expectedWorkMs();
        // Prefers this gateway's zone only if its own attempts show the load there, so as not to overload the zone.
        double crossZoneMs = !wholeSubset || endpoint.host().zone().equals(zone) ? 0 : CROSS_ZONE_COST_RATIO * workMs;
        return (workMs + endpoint.outstandingWorkMs()) * penalty / slowStart.capacityShare(endpoint, now) + crossZoneMs;
    }
}
