/** Timers for what a peer must send in time. */
export { PeerTimer, type PeerTimerOptions } from "./peerTimer.js";
export { StallWatch } from "./stallWatch.js";
