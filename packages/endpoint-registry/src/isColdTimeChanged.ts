/**
 * Whether a cold time has begun, been renewed or ended between two reports of it, rather than run down. Times left are in
 * milliseconds; absent ones count as 0.
 */
export function isColdTimeChanged(knownMs = 0, coldMs = 0): boolean {
    return coldMs > knownMs || (coldMs === 0 && knownMs > 0);
}
