/** How the control group finds its members when the settings do not list them. */
export interface FoundingSettings {
    /** Addresses of control members. At the first start they found the group, so all members must list the same. */
    seeds: string[];
    /** Whether the whole deployment starts for the first time, with empty disks. */
    isFirstStart: boolean;
    /** Number of members that the group grows to: 2f + 1 to tolerate the loss of f members. */
    targetMembers: number;
}

/** Settings of the control role. Either `members` or `founding` is given. */
export interface ControlSettings {
    /** Address (host:port) to which entries and other members connect. */
    listen: string;
    /** Folder that holds the log and snapshots. */
    dataFolder: string;
    /** All members of the control group, this one included. */
    members?: { id: string; address: string }[];
    founding?: FoundingSettings;
    /** Data centres that can be evacuated; by default that of this process and those of known endpoints. */
    dataCentres?: string[];
    /** Interval of planning and presence decisions, in milliseconds. */
    decisionIntervalMs: number;
    /** Applied log entries between snapshots. */
    snapshotEvery: number;
    /** A VM that no entry has reported for this long is declared lost, in milliseconds. */
    lostAfterMs: number;
}
