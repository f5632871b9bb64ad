/**
 * Decides which admitted request is dispatched next, and how many attempts may be in flight. The package has one queue
 * for each traffic class, weighted fair queueing between the classes, an adaptive concurrency limit, and a controller
 * of the classes' weights (pages PAPER and DESIGN: Release, Delay, Donation).
 *
 * <p>Depends on {@code caperrudder.api} alone. The scheduler is generic in the types of requests and destinations, so
 * it depends neither on the life cycle of requests nor on endpoints. No class reads a clock: callers pass the time, in
 * milliseconds of the policy's clock. No class is thread-safe; all are confined to the thread that delivers the
 * policy's events.
 */
package caperrudder.policy.scheduling;
