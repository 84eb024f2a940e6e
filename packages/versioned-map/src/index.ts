/** A keyed map whose entries carry revisions, with deltas, snapshots and a safe point. */
export {
    applyUpdate,
    compactMap,
    computeUpdate,
    createVersionedMap,
    type VersionedEntry,
    type VersionedMap,
    type VersionedUpdate,
    writeEntry,
} from "./versionedMap.js";
