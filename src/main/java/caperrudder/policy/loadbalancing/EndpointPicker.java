package caperrudder.policy.loadbalancing;

import caperrudder.api.Host;
import caperrudder.api.Idempotency;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;

/**
 * Picks the endpoint for an attempt: the best of a few that are sampled from the subset by what each can do. The best
 * by the few own counts of one of many gateways would be the best of all gateways at once, so as many are sampled as
 * this gateway's outstanding attempts can tell apart; where that is the whole subset, all are compared.
 */
final class EndpointPicker {
    private static final int MIN_SAMPLE = 2;
    private static final int SAMPLED_PER_ATTEMPT = 2; // endpoints more in a sample for each outstanding attempt
    private static final int DRAWS_PER_SAMPLE = 16; // draws for each endpoint of a sample before it stays smaller
    private static final int MAX_COMPARED = 1024; // endpoints compared at most where none of the subset may be used
    private static final double SUSPECT_PENALTY = 2.2; // latency penalty from which it is worse than chance makes it
    private static final double RETRY_PENALTY = OutlierScore.EJECTION_PENALTY; // for each attempt that was there before
    private static final double CROSS_ZONE_COST = 0.05; // as share of the score of an idle endpoint
    private static final double TIE_BREAK = 1e-3; // share of the score that is drawn

    private final EndpointTable table;
    private final EndpointSubset subset;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final String zone;
    private final Random random;
    private int outstandingAttempts;

    /** {@code zone} is this gateway's; {@code random} is shared with the whole policy. */
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

    /** An attempt of this gateway begins to work on an endpoint. */
    void startAttempt(Endpoint endpoint, double expectedWorkMs) {
        endpoint.startAttempt(expectedWorkMs);
        outstandingAttempts++;
    }

    /** The counterpart of {@link #startAttempt}, with the same expected time. */
    void finishAttempt(Endpoint endpoint, double expectedWorkMs) {
        outstandingAttempts--;
        endpoint.finishAttempt(expectedWorkMs);
    }

    /** The endpoint for the next attempt, or null where none may be used now. */
    Endpoint pick(double now, PlacementRequest request) {
        Endpoint best = best(now, request, comparesWholeSubset() ? subset.endpoints() : sample(now, request), false);
        boolean warm = subset.isWarm(slowStart, now);
        if (warm) random.nextDouble(); // the draw that no endpoint in slow start would win
        Endpoint warmingUp = warm ? null : drawSlowStart(now, request);
        if (warmingUp != null && (best == null || warmingUp.isIdle())) return warmingUp;
        if (best != null) return best;
        best = best(now, request, beyondSubset(request), true);
        if (best != null) slowStart.chargeRequest(best);
        return best;
    }

    private int sampleSize() {
        return MIN_SAMPLE + SAMPLED_PER_ATTEMPT * outstandingAttempts;
    }

    private boolean comparesWholeSubset() {
        return sampleSize() >= subset.endpoints().size();
    }

    /** Endpoints drawn evenly from the subset and kept by chance, the less likely the greater their latency penalty. */
    private Collection<Endpoint> sample(double now, PlacementRequest request) {
        List<Endpoint> endpoints = subset.endpoints();
        int size = Math.min(endpoints.size(), sampleSize());
        LinkedHashSet<Endpoint> sample = new LinkedHashSet<>();
        for (int i = 0; i < size * DRAWS_PER_SAMPLE && sample.size() < size; i++) {
            Endpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
            double penalty = endpoint.latencyPenalty(now, request.className());
            if (random.nextDouble() * penalty <= 1) sample.add(endpoint);
        }
        return sample;
    }

    /** All endpoints; of very many some from a drawn one on, among those that drop repeats of an uncertain attempt. */
    private List<Endpoint> beyondSubset(PlacementRequest request) {
        boolean narrows = table.usableCount() > MAX_COMPARED
                && request.requestClass().idempotency() == Idempotency.IDEMPOTENCY_KEY;
        Host mayHaveRunOn = narrows ? request.mayHaveRunOn() : null;
        Collection<RankedEndpoints> parts = mayHaveRunOn == null
                ? table.usable()
                : table.usableSharing(request.requestClass().deduplicationScope(), mayHaveRunOn);
        int count = 0;
        for (RankedEndpoints part : parts) count += part.size();
        int first = count > MAX_COMPARED ? random.nextInt(count) : 0;
        return RankedEndpoints.copyCircular(parts, first, Math.min(MAX_COMPARED, count));
    }

    /**
     * An endpoint in slow start that has earned a request, or null. One of the subset is drawn by what each can do; an
     * endpoint in slow start is credited for being drawn. Its own counts tell a gateway of many nothing of how full
     * the warm endpoints are: by score alone those in slow start would stay idle.
     */
    private Endpoint drawSlowStart(double now, PlacementRequest request) {
        Endpoint drawn = drawByWeight(now, request.className());
        boolean eligible = drawn != null && slowStart.isWarmingUp(drawn, now) && request.allows(drawn);
        return eligible && slowStart.earnsRequest(drawn, now) ? drawn : null;
    }

    private Endpoint drawByWeight(double now, String className) {
        List<Endpoint> endpoints = subset.endpoints();
        double total = endpoints.stream()
                .mapToDouble(endpoint -> weight(now, endpoint, className))
                .sum();
        double left = random.nextDouble() * total;
        for (Endpoint endpoint : endpoints) {
            left -= weight(now, endpoint, className);
            if (left > 0) continue;
            return endpoint;
        }
        return null; // rounding has left a trace of the total
    }

    /** What an endpoint can do for a class, as a share of a warm healthy one with the mean load. */
    private double weight(double now, Endpoint endpoint, String className) {
        if (!endpoint.isUsable()) return 0;
        double penalty = Math.max(1, endpoint.latencyPenalty(now, className));
        return loadReports.correction(now, endpoint) * slowStart.capacity(endpoint, now) / penalty;
    }

    /**
     * The usable endpoint with the least score among some, or null. One in slow start has its requests by credit; it
     * takes part only where {@code slowStartToo} says so, as seldom as its allowance requires.
     */
    private Endpoint best(double now, PlacementRequest request, Collection<Endpoint> among, boolean slowStartToo) {
        Endpoint best = null;
        double bestScore = Double.MAX_VALUE;
        for (Endpoint endpoint : among) {
            if (!endpoint.isUsable() || !request.allows(endpoint)) continue;
            if (slowStart.isWarmingUp(endpoint, now) && (!slowStartToo || !drawsAllowance(now, endpoint, among.size())))
                continue;
            double score = score(now, request, endpoint) * (1 + TIE_BREAK * random.nextDouble());
            if (score < bestScore) best = endpoint;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    private boolean drawsAllowance(double now, Endpoint endpoint, int candidates) {
        return random.nextDouble() * candidates <= slowStart.allowedShare(endpoint, now);
    }

    /** The time in ms that the request would take with what is outstanding there, made worse by what speaks against. */
    private double score(double now, PlacementRequest request, Endpoint endpoint) {
        boolean wholeSubset = comparesWholeSubset();
        double penalty = endpoint.latencyPenalty(now, request.className());
        if (!wholeSubset && penalty < SUSPECT_PENALTY) penalty = 1; // the sample was drawn by it already
        for (Endpoint attempted : request.attempted()) {
            if (attempted == endpoint) penalty *= RETRY_PENALTY;
        }
        double work = request.expectedWorkMs();
        // A zone is preferred only where own counts show its load, or all would gather in a crowded one.
        double crossing = !wholeSubset || endpoint.host().zone().equals(zone) ? 0 : CROSS_ZONE_COST * work;
        return (work + endpoint.outstandingWorkMs()) * penalty / slowStart.capacity(endpoint, now) + crossing;
    }
}
