/**
 * Retries: the limit on their number ({@link caperrudder.policy.retry.RetryBudget}) and the check that a request can
 * safely be sent again ({@link caperrudder.policy.retry.RetrySafety}). By rule 2 in WIRE, a request that must not run
 * twice is never sent again after an attempt that may have run.
 *
 * <p>Depends on {@code caperrudder.api} alone. No class reads a clock.
 *
 * <p>Not thread-safe. All objects of a gateway are used by its event loop only.
 */
package caperrudder.policy.retry;
