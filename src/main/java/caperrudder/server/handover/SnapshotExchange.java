package caperrudder.server.handover;

import caperrudder.api.PolicySnapshot;
import java.util.concurrent.ExecutionException;

/**
 * What of a gateway takes part in a handover. Called on the handover's thread or on the one that starts the process,
 * never on the event loop.
 */
public interface SnapshotExchange {
    /**
     * The state of the policy as it is now.
     *
     * @throws ExecutionException where the policy could not take it
     */
    PolicySnapshot takeSnapshot() throws InterruptedException, ExecutionException;

    /** What the predecessor knew as of its latest snapshot. */
    void restoreSnapshot(PolicySnapshot snapshot);

    /** Whether another process of this gateway runs, with which this one shares its descriptors. */
    void runsBesideAnother(boolean anotherRuns);
}
