/**
 * The handover from one process of a gateway to the next without a break (page DEPLOY, upgrades): claims, snapshots,
 * their files and the format of their bytes.
 *
 * <p>Depends on {@code api} and {@code server.runtime}. The files are read and written by a thread of its own; the
 * event loop only takes and restores snapshots, through {@code SnapshotExchange}.
 */
package caperrudder.server.handover;
