package caperrudder.policy;

import java.util.LinkedHashSet;

/** What is known of a peer gateway, and what waits to be told to it. */
final class PeerState {
    final int number;
    final LinkedHashSet<CustomerQuota> tells = new LinkedHashSet<>(); // to it as a keeper
    final LinkedHashSet<CustomerQuota> answers = new LinkedHashSet<>(); // to it by this gateway as a keeper
    boolean waiting; // stands in the outbox
    boolean met;
    int epoch;
    int serial; // of the last message to it
    int heardSerial;
    double toldAt = State.NEVER;
    double silentTill = State.NEVER;

    PeerState(int number) {
        this.number = number;
    }
}
