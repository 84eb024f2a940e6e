import { Map as ImmutableMap } from "immutable";

/** One entry; `value` is `undefined` for a removed key until the safe point passes it. */
export interface VersionedEntry<Value> {
    revision: number;
    value: Value | undefined;
}

/** Immutable map. `revision` is that of the newest write; removals at or below `safePoint` have been dropped. */
export interface VersionedMap<Value> {
    revision: number;
    safePoint: number;
    entries: ImmutableMap<string, VersionedEntry<Value>>;
}

/** Changes that take a reader from `since` to `revision`; a snapshot replaces all that the reader holds. */
export interface VersionedUpdate<Value> {
    since: number;
    revision: number;
    isSnapshot: boolean;
    changes: { key: string; revision: number; value: Value | undefined }[];
}

/** Creates an empty map. */
export function createVersionedMap<Value>(): VersionedMap<Value> {
    return { revision: 0, safePoint: 0, entries: ImmutableMap() };
}

/** Writes or, with `undefined`, removes a key at a revision. */
export function writeEntry<Value>(
    map: VersionedMap<Value>,
    key: string,
    revision: number,
    value: Value | undefined,
): VersionedMap<Value> {
    return { ...map, revision: Math.max(map.revision, revision), entries: map.entries.set(key, { revision, value }) };
}

/**
 * Computes the changes that a reader at revision `since` lacks; of several writes to one key only the last is included.
 * A reader below the safe point gets a snapshot, since removals that it has not received may have been dropped.
 */
export function computeUpdate<Value>(
    map: VersionedMap<Value>,
    since: number,
    isIncluded: (key: string) => boolean = () => true,
): VersionedUpdate<Value> {
    const isSnapshot = since < map.safePoint || since > map.revision || since === 0;
    const changes: VersionedUpdate<Value>["changes"] = [];
    if (isSnapshot || since < map.revision) {
        for (const [key, entry] of map.entries) {
            const isWanted = isSnapshot ? entry.value !== undefined : entry.revision > since;
            if (isWanted && isIncluded(key)) {
                changes.push({ key, revision: entry.revision, value: entry.value });
            }
        }
    }
    return { since, revision: map.revision, isSnapshot, changes };
}

/** Applies an update to a reader's map. An older update, or a delta that starts after the map, changes nothing. */
export function applyUpdate<Value>(map: VersionedMap<Value>, update: VersionedUpdate<Value>): VersionedMap<Value> {
    if (update.revision < map.revision || (!update.isSnapshot && update.since > map.revision)) {
        return map;
    }
    const base = update.isSnapshot ? ImmutableMap<string, VersionedEntry<Value>>() : map.entries;
    const entries = base.withMutations(draft => {
        for (const change of update.changes) {
            const current = draft.get(change.key);
            if (current === undefined || current.revision <= change.revision) {
                draft.set(change.key, { revision: change.revision, value: change.value });
            }
        }
    });
    return { revision: update.revision, safePoint: update.isSnapshot ? update.revision : map.safePoint, entries };
}

/** Raises the safe point and drops removals at or below it. A lower safe point changes nothing. */
export function compactMap<Value>(map: VersionedMap<Value>, safePoint: number): VersionedMap<Value> {
    if (safePoint <= map.safePoint) {
        return map;
    }
    const entries = map.entries.filter(entry => entry.value !== undefined || entry.revision > safePoint);
    return { ...map, safePoint: Math.min(safePoint, map.revision), entries };
}
