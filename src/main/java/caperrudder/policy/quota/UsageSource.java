package caperrudder.policy.quota;

import caperrudder.api.Settings;

/** How the gateways of a deployment learn what other gateways admit for a customer. */
public enum UsageSource {
    /** From messages between gateways. */
    PEERS,
    /** From the meter alone, whose figures arrive with the responses of hosts. */
    METER,
    /** Not at all. */
    NONE;

    /** Returns the source that the settings allow; messages are preferred to the meter. */
    public static UsageSource of(Settings settings) {
        if (settings.limits().peerMessages()) return PEERS;
        return settings.coordination().meterPeriodMs() > 0 ? METER : NONE;
    }
}
