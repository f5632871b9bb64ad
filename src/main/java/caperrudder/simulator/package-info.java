/**
 * Connects the traffic policy to the simulator, through lines on standard input and output that WIRE defines.
 *
 * <p>{@link caperrudder.simulator.SimulatorAdapter} reads a batch of messages, delivers each message to its policy
 * instance and writes one reply with all actions. A process has many instances, which all run on the thread that reads.
 * The time is that of the batches; no other clock is read. The package depends on {@code caperrudder.api},
 * {@code caperrudder.settings} and {@code caperrudder.policy}.
 */
package caperrudder.simulator;
