/** Links to all control members, discovered from seed addresses. */
export { ControlDirectory, type ControlDirectoryOptions } from "./controlDirectory.js";
export { formatMemberId, getMemberAddress } from "./memberId.js";
