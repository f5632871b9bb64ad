package caperrudder.policy.quota;

import caperrudder.api.Settings;

/** How the gateways of one deployment learn what the others let a customer use. */
public enum UsageSource {
    /** By messages between gateways. */
    PEERS,
    /** By the meter alone, whose figures arrive with the responses of hosts. */
    METER,
    /** Not at all. */
    NONE;

    /** As the settings allow it: messages are preferred to the meter. */
    public static UsageSource of(Settings settings) {
        if (settings.limits().peerMessages()) return PEERS;
        return settings.sharing().meterPeriodMs() > 0 ? METER : NONE;
    }
}
