/**
 * The command line. {@link caperrudder.Main} picks the command; each command loads the classes of its own packages
 * alone. Nothing depends on this package.
 */
package caperrudder;
