/** Leases between the head of a replica group and its members. */
export {
    createHeadLeases,
    DEFAULT_GROUP_LEASE_TIMING,
    type GroupLeaseTiming,
    hasAllLeases,
    type HeadLeases,
    recordGrant,
} from "./headLeases.js";
export {
    canConfirmRelease,
    createMemberGrants,
    decideGrant,
    type GrantInput,
    type MemberGrants,
} from "./memberGrants.js";
