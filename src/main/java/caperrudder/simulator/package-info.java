/**
 * The traffic policy on the simulator's wire: lines on standard input and output, as WIRE gives them.
 *
 * <p>{@link caperrudder.simulator.SimulatorAdapter} reads a batch of messages, hands each to the instance that it is
 * for and writes one reply with all actions. Many instances live in one process; all run on the one thread that reads.
 * The package depends on {@code caperrudder.api}, {@code caperrudder.settings} and {@code caperrudder.policy}; time
 * is what the batches say.
 */
package caperrudder.simulator;
