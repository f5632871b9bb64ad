/**
 * One gateway process: {@code GatewayProcess} starts and ends it, {@code GatewayServer} wires the parts together,
 * {@code PolicyEventQueue} hands events to the policy, {@code DrainController} carries out a graceful shutdown, and
 * {@code StartupWarmUp} compiles the code before clients come.
 *
 * <p>May depend on everything below it: {@code api}, {@code settings}, {@code policy} and all packages of the server.
 * All state belongs to one event loop, except where a class says otherwise.
 */
package caperrudder.server;
