package caperrudder.policy.quota;

/** What this gateway decides on a request by its own knowledge. */
public enum AdmissionVerdict {
    /** The request fits what this gateway may admit by itself. */
    ADMIT,
    /** The request is beyond the quota, or not worth its odds of being so. */
    REJECT,
    /** Only the owner of the quota can decide. */
    ASK_OWNER
}
