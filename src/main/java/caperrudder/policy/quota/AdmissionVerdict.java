package caperrudder.policy.quota;

/** What this gateway decides on a request by its own knowledge. */
public enum AdmissionVerdict {
    ADMIT,
    REJECT,
    /** Only the owner of the quota can decide. */
    ASK_OWNER
}
