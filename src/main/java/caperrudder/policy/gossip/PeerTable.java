package caperrudder.policy.gossip;

import caperrudder.api.Settings;

/** The states of the deployment's gateways by number. The entry of this gateway itself is unused. */
final class PeerTable {
    private final PeerState[] peers;
    private final int ownNumber;

    PeerTable(Settings settings) {
        ownNumber = settings.gatewayIndex();
        peers = new PeerState[Math.max(1, settings.gatewayCount())];
        for (int number = 0; number < peers.length; number++) {
            peers[number] = new PeerState(number);
        }
    }

    PeerState get(int number) {
        return peers[number];
    }

    /** Returns the number of gateways in the deployment, including this one. */
    int size() {
        return peers.length;
    }

    /** Returns this gateway's number. */
    int ownNumber() {
        return ownNumber;
    }

    /** Returns whether {@code number} is the number of another gateway of the deployment. */
    boolean isPeer(int number) {
        return number >= 0 && number < peers.length && number != ownNumber;
    }
}
