/**
 * The configuration of a gateway process (page DEPLOY): read from JSON, checked, typed, and read again at SIGHUP. What
 * is wrong with one is said by {@link caperrudder.server.config.ConfigurationException}.
 *
 * <p>Depends on the settings of the policy and on {@code server.runtime}. Values are immutable; the reloader works on the signal's thread.
 */
package caperrudder.server.config;
