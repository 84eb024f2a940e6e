/** Leases between the head of a replica group and its members. */
export {
    DEFAULT_GROUP_LEASE_TIMING,
    type GroupLeaseTiming,
    hasAllLeases,
    type HeadLeases,
    recordGrant,
    startHeadLeases,
} from "./headLeases.js";
export {
    canConfirmRelease,
    decideGrant,
    type GrantInput,
    type MemberGrants,
    startMemberGrants,
} from "./memberGrants.js";
