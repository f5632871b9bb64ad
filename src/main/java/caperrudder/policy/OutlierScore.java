package caperrudder.policy;

/** How many times slower than usual a host was last taken to be, and when. */
final class OutlierScore {
    static final double SLOWEST = 12; // largest slowness that is believed
    private static final double FADE_MS = 6000; // slowness not confirmed fades: a trial by itself
    private static final double CHANCE_GAIN = 0.1; // weight of a first failure: any host's connection may break
    double slow = 1;
    double at;
    int failures; // since the last good answer

    double slowness(double now) {
        return slow == 1 ? 1 : 1 + (slow - 1) * Math.exp(-(now - at) / FADE_MS);
    }

    void note(double ratio, double gain, double now) {
        slow = slowness(now) + gain * (Math.min(SLOWEST, ratio) - slowness(now));
        at = now;
    }

    /** One failure may be chance; a further one before it is forgotten tells of the host. */
    void noteFailure(double gain, double now) {
        note(SLOWEST, failures > 0 ? gain : CHANCE_GAIN, now);
        failures++;
    }
}
