/** Counts times in the window of a length that begins with each time, which ascend; returns the largest number. */
export function countMost(times: number[], windowMs: number): number {
    let most = 0;
    for (let first = 0, next = 0; first < times.length; first++) {
        while (next < times.length && times[next] < times[first] + windowMs) {
            next++;
        }
        most = Math.max(most, next - first);
    }
    return most;
}
