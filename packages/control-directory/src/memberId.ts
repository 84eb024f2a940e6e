const SEPARATOR = "#";

/** Formats a control member's id: its address, and a nonce for each disk after the first at that address. */
export function formatMemberId(address: string, nonce?: string): string {
    return nonce === undefined ? address : `${address}${SEPARATOR}${nonce}`;
}

/** Address (host:port) at which a member accepts links. */
export function getMemberAddress(memberId: string): string {
    return memberId.split(SEPARATOR)[0];
}
