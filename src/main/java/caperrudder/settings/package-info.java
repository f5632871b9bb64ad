/**
 * The settings of one gateway, read from named text values into the typed records of {@code caperrudder.api}.
 *
 * <p>The server reads them from its configuration file and the simulator's adapter from a message; both use the same
 * names, which WIRE gives. The package depends on {@code caperrudder.api} alone, opens no files or sockets and keeps no
 * state: each {@link caperrudder.settings.Fields} belongs to the thread that made it.
 */
package caperrudder.settings;
