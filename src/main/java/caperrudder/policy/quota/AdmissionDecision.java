package caperrudder.policy.quota;

/** The decision on a request that this gateway makes from its own knowledge. */
public enum AdmissionDecision {
    /** The request is within what this gateway may admit by itself. */
    ADMIT,
    /** The request is over the quota, or so likely to be over it that admitting it is not worthwhile. */
    REJECT,
    /** Only an owner of the quota can decide. */
    ASK_OWNER
}
