package caperrudder.policy.gossip;

import caperrudder.api.Settings;

/** All gateways of the deployment by their number; the entry of this gateway itself stays unused. */
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

    /** Gateways of the deployment, this one included. */
    int size() {
        return peers.length;
    }

    /** Number of this gateway. */
    int ownNumber() {
        return ownNumber;
    }

    boolean isOther(int number) {
        return number >= 0 && number < peers.length && number != ownNumber;
    }
}
