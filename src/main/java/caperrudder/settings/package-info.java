/**
 * Parses the settings of one gateway from text fields into the records of {@code caperrudder.api}.
 *
 * <p>The server takes the fields from its configuration file, and the simulator's adapter takes them from a message.
 * Both use the field names that WIRE defines. The package depends only on {@code caperrudder.api}, opens no files or
 * sockets and has no mutable state.
 */
package caperrudder.settings;
