/** Parts of a group's name. Engines report the name, so that a new leader knows which groups its predecessor formed. */
export interface GroupName {
    /** A standby group has one member, which holds a model to join a replica group quickly, and never opens. */
    isStandby: boolean;
    model: string;
    size: number;
}

const GROUP_NAME_PATTERN = /^([rs])-(\d+)-(.+)$/;

/** Formats a group's name. */
export function formatGroupName(name: GroupName): string {
    return `${name.isStandby ? "s" : "r"}-${name.size}-${name.model}`;
}

/** Parses a group's name; returns `undefined` for a name of another format. */
export function parseGroupName(text: string): GroupName | undefined {
    const match = GROUP_NAME_PATTERN.exec(text);
    return match === null ? undefined : { isStandby: match[1] === "s", size: Number(match[2]), model: match[3] };
}
