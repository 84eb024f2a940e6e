import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState, type EngineModelProfile } from "@kumquathall/types";
import { parseGroupName } from "./groupName.js";

/** Whether the engine's last group since its start had this model, so that it can join another one almost at once. */
export function isWarm(view: EndpointView, model: EngineModelProfile): boolean {
    const group = view.engine?.group;
    // A head that was ordered to leave belongs to no group but still has the model of its last one.
    const name = group === undefined
        ? view.lastGroupName
        : group.state === EngineGroupState.Joining
        ? undefined
        : group.name;
    return name !== undefined && parseGroupName(name)?.model === model.name;
}

/** Whether the engine belongs to a standby group of the model or is joining one. */
export function isStandbyOf(view: EndpointView, model: EngineModelProfile): boolean {
    const parsed = parseGroupName(view.engine?.group?.name ?? "");
    return parsed?.isStandby === true && parsed.model === model.name;
}

/** Whether the engine's host holds the model in memory. */
export function isStaged(view: EndpointView, model: EngineModelProfile): boolean {
    return view.engine?.staged.includes(model.name) === true;
}

/** Slowdown from which an engine counts as a straggler. A group runs at the speed of its slowest member. */
const MIN_STRAGGLER_PACE = 2;

/** Whether the engine is far slower than its profile. */
export function isStraggler(view: EndpointView): boolean {
    return (view.engine?.pace ?? 1) >= MIN_STRAGGLER_PACE;
}

/** Whether the engine can join a group of the model only after a load from the weight store. */
export function mustLoad(view: EndpointView, model: EngineModelProfile): boolean {
    return !isStaged(view, model) && !isWarm(view, model);
}
