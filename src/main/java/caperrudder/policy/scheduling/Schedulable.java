package caperrudder.policy.scheduling;

/** What a {@link FairScheduler} queues: a unit of work of some traffic class. */
public interface Schedulable {
    /** The class in whose queue it waits; never changes. */
    TrafficClass trafficClass();

    /** Time in milliseconds that its class's requests of this size have been taking; over 0. */
    double expectedWorkMs();
}
