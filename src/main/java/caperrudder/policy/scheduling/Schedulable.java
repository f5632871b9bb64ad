package caperrudder.policy.scheduling;

/** A request that a {@link FairScheduler} can queue. */
public interface Schedulable {
    /** Returns the class in whose queue the request waits; never changes. */
    TrafficClass trafficClass();

    /** Returns the expected latency in milliseconds, from recent requests of the same class and size; over 0. */
    double expectedWorkMs();
}
