/**
 * The scale experiments: what a gateway costs by the number of hosts, gateways and tenants.
 *
 * <p>{@link caperrudder.scale.ScaleCommand} measures simulated gateways, the real policy on a simulated clock;
 * {@link caperrudder.scale.ProcessCommand} measures real processes over loopback. No other command loads this package,
 * and it alone uses picocli and HdrHistogram. It may depend on all other packages but {@code caperrudder}.
 * Simulated fleets run on the thread that calls; {@link caperrudder.scale.LoopbackServers} has threads of its own.
 */
package caperrudder.scale;
