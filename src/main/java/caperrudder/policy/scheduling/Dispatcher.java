package caperrudder.policy.scheduling;

/**
 * Finds a destination for what a {@link FairScheduler} wants to release, and sends it there.
 *
 * @param <R> what is released
 * @param <D> where it may go
 */
public interface Dispatcher<R, D> {
    /** A destination that may take it now, or null where there is none; changes no queue. */
    D findDestination(double now, R request);

    /** Sends what has just left its queue; takes a slot of the concurrency limit where the work begins at once. */
    void dispatch(double now, R request, D destination);
}
