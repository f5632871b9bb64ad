/**
 * The entry point of the program. {@link caperrudder.Main} selects the command, and each command loads only the classes
 * that it needs. No other package depends on this one.
 */
package caperrudder;
