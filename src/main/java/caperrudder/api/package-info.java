/**
 * The interface between the policy and its environment. The environment calls {@link caperrudder.api.PolicyEvents}, and
 * the policy calls {@link caperrudder.api.PolicyActions}. The records are what these calls carry: settings, hosts,
 * requests, results and snapshots.
 *
 * <p>The package depends only on the collections of the JDK. Its records are immutable except for the arrays in
 * {@link caperrudder.api.AttemptResult} and in the events, which must not be modified after the call. All times are in
 * milliseconds of the clock that the events carry. All calls of a gateway are made from one thread.
 */
package caperrudder.api;
