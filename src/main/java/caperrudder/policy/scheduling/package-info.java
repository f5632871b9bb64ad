/**
 * Which admitted request is dispatched next, and how many attempts may be in flight: one queue for each traffic class,
 * weighted fair turns between the classes, an adaptive concurrency limit, and the weight controller of the paper that
 * the design follows (pages PAPER and DESIGN: Release, Delay, Donation).
 *
 * <p>Depends on {@code caperrudder.api} alone. The scheduler is generic over what it queues and where that goes, so it
 * knows neither requests in their life cycle nor endpoints. No class reads a clock: callers pass the time, in
 * milliseconds of the policy's clock. No class is safe for use by several threads; all are confined to the thread that
 * delivers the policy's events.
 */
package caperrudder.policy.scheduling;
