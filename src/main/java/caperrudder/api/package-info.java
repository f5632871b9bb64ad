/**
 * What the policy is notified of and what it may do: settings, hosts, requests, results, events, actions and the
 * snapshot that one process leaves to the next.
 *
 * <p>The package depends on nothing but the JDK's collections. Its records are immutable but for the arrays that
 * {@link caperrudder.api.AttemptResult} and the events carry, which nobody changes after the call. All times are in
 * milliseconds of the one clock that events bring along; all calls of one gateway come from one thread.
 */
package caperrudder.api;
