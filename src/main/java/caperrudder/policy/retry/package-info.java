/**
 * Retries: how many this gateway may make ({@link caperrudder.policy.retry.RetryBudget}), and whether repeating a
 * request does harm ({@link caperrudder.policy.retry.RetrySafety}, rule 2 of the simulator's pages: what must not run
 * twice is never sent twice).
 *
 * <p>Depends on {@code caperrudder.api} alone. No class reads a clock. All are confined to the thread that delivers the
 * policy's events.
 */
package caperrudder.policy.retry;
