/**
 * What every other part of the server runs on: clock, lag of the event loop, budgets of descriptors and of
 * buffers, transport, addresses, signals, fatal errors, and {@link caperrudder.server.runtime.Log} as the one way to
 * write a log line.
 *
 * <p>Depends on the JDK and Netty alone. Unless a class says otherwise its instances belong to the event loop.
 */
package caperrudder.server.runtime;
