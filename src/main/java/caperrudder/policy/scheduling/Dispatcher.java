package caperrudder.policy.scheduling;

/**
 * Finds destinations for the requests in the queues of a {@link FairScheduler}, and sends the requests there.
 *
 * @param <R> type of the queued requests
 * @param <D> type of the destinations
 */
public interface Dispatcher<R, D> {
    /** Returns a destination that may take the request now, or null if there is none. Must not change a queue. */
    D findDestination(double now, R request);

    /**
     * Sends a request that has just left its queue. Takes a slot of the concurrency limit if its work begins at once.
     */
    void dispatch(double now, R request, D destination);
}
