import type { ServiceDefinition } from "@kumquathall/types";
import { isDeepStrictEqual } from "node:util";

export const PlanAction = { Create: "create", Update: "update", Unchanged: "unchanged", Conflict: "conflict" } as const;
export type PlanActionValue = (typeof PlanAction)[keyof typeof PlanAction];

/** The planned action for one service. */
export interface PublishStep {
    action: PlanActionValue;
    /** Identifies the change in the audit trail; a resend carries the same id. */
    changeId: string;
    /** Version in force when the plan was made; 0 for a new service. */
    baseVersion: number;
    definition: ServiceDefinition;
    /** One line for each field that differs; for a conflict, the reason comes first. */
    changes: string[];
}

/** The steps of one publish, in the order of the service files. */
export interface PublishPlan {
    steps: PublishStep[];
}

/** Compares declared services with those in force. */
export function assemblePublishPlan(
    declared: ServiceDefinition[],
    inForce: ServiceDefinition[],
    createChangeId: () => string,
): PublishPlan {
    return {
        steps: declared.map(definition => assembleStep(definition, findCurrent(definition, inForce), createChangeId())),
    };
}

/** Lists the fields that differ, as `path: before -> after`. */
export function describeChanges(before: unknown, after: unknown, path = ""): string[] {
    if (isDeepStrictEqual(before, after)) {
        return [];
    }
    if (!isContainer(before) || !isContainer(after)) {
        return [`${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`];
    }
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return keys.flatMap(key => describeChanges(before[key], after[key], `${path}/${key}`));
}

function assembleStep(
    definition: ServiceDefinition,
    current: ServiceDefinition | undefined,
    changeId: string,
): PublishStep {
    if (current === undefined) {
        return { action: PlanAction.Create, changeId, baseVersion: 0, definition, changes: [] };
    }
    const changes = describeChanges(current, definition);
    const step = { changeId, baseVersion: current.version, definition, changes };
    if (changes.length === 0) {
        return { ...step, action: PlanAction.Unchanged };
    }
    if (definition.version <= current.version) {
        const reason = `version ${current.version} is in force with different content; set "version" to ${
            current.version + 1
        } or higher`;
        return { ...step, action: PlanAction.Conflict, changes: [reason, ...changes] };
    }
    return { ...step, action: PlanAction.Update };
}

function findCurrent(definition: ServiceDefinition, inForce: ServiceDefinition[]): ServiceDefinition | undefined {
    return inForce.find(item => item.institution === definition.institution && item.service === definition.service);
}

function isContainer(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null;
}
