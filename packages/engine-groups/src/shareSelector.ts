import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

export interface ShareSelectionInput {
    /** The declared profile. */
    profile: EngineProfile;
    /** Measured share of each model; `undefined` if it isn't known. */
    measured: Map<string, number> | undefined;
    /** Number of the service's endpoints. */
    endpoints: number;
    /** Local monotonic milliseconds. */
    now: number;
}

export interface ShareSelection {
    /** The declared profile, or the same with measured shares. */
    profile: EngineProfile;
    /** The shares are measured ones. */
    isMeasured: boolean;
    /** The shares differ from those of the last selection. */
    hasChanged: boolean;
}

/** Part of a share in use by which the measured one must differ from it. */
const MIN_DIFFERENCE = 0.1;
/** Time for which it must do so, in milliseconds. */
const MIN_DIFFERENCE_MS = 2000;

/** Whether a service's declaration says nothing about the demand, so that measured shares replace the declared ones. */
export function isDemandDriven(profile: EngineProfile): boolean {
    const { models } = profile;
    return models.length > 1
        && models.every(model => model.share > 0 && model.share === models[0].share && model.groupSize > 0);
}

/**
 * Chooses the shares by which a service's groups are planned, with hysteresis. Measured shares stay in use while no figures
 * are known: a few callers, or a leader without gateways, are no reason to dissolve groups that serve.
 */
export class ShareSelector {
    private inUse: Map<string, number> | undefined;
    private differsSince: number | undefined;

    select({ profile, measured, endpoints, now }: ShareSelectionInput): ShareSelection {
        const before = this.inUse;
        const wanted = measured === undefined || !isDemandDriven(profile)
            ? undefined
            : raiseToOneGroup(profile.models, measured, endpoints);
        if (wanted !== undefined) {
            this.follow(wanted, now);
        }
        else if (!isDemandDriven(profile)) {
            this.inUse = undefined;
            this.differsSince = undefined;
        }
        return {
            profile: this.inUse === undefined ? profile : replaceShares(profile, this.inUse),
            isMeasured: this.inUse !== undefined,
            hasChanged: this.inUse !== before,
        };
    }

    /** Uses the first shares at once, since a new leader begins without any, and later ones after a while. */
    private follow(wanted: Map<string, number>, now: number): void {
        const { inUse } = this;
        if (inUse !== undefined && !isDifferent(wanted, inUse)) {
            this.differsSince = undefined;
            return;
        }
        this.differsSince ??= now;
        if (inUse === undefined || now - this.differsSince >= MIN_DIFFERENCE_MS) {
            this.inUse = wanted;
            this.differsSince = undefined;
        }
    }
}

function isDifferent(wanted: Map<string, number>, inUse: Map<string, number>): boolean {
    return wanted.size !== inUse.size || [...wanted].some(([model, share]) => {
        const used = inUse.get(model);
        return used === undefined || Math.abs(share - used) > used * MIN_DIFFERENCE;
    });
}

/** Raises each share to what one group needs, at the expense of the others; `undefined` if that is impossible. */
function raiseToOneGroup(
    models: EngineModelProfile[],
    measured: Map<string, number>,
    endpoints: number,
): Map<string, number> | undefined {
    const floors = new Map(models.map(model => [model.name, model.groupSize / endpoints]));
    const floorSum = [...floors.values()].reduce((sum, floor) => sum + floor, 0);
    if (!(floorSum < 1)) {
        return undefined;
    }
    // Raising one share takes from the others, which may fall below their own floor in turn.
    const raised = new Set<string>();
    for (;;) {
        const left = 1 - sumOf(models.filter(model => raised.has(model.name)), model => floors.get(model.name) ?? 0);
        const others = models.filter(model => !raised.has(model.name));
        const total = sumOf(others, model => measured.get(model.name) ?? 0);
        const compute = (model: EngineModelProfile) => total > 0 ? (measured.get(model.name) ?? 0) / total * left : 0;
        const low = others.filter(model => compute(model) < (floors.get(model.name) ?? 0));
        if (low.length === 0) {
            return new Map(models.map(model => [
                model.name,
                raised.has(model.name) ? floors.get(model.name) ?? 0 : compute(model),
            ]));
        }
        low.forEach(model => raised.add(model.name));
    }
}

function sumOf(models: EngineModelProfile[], read: (model: EngineModelProfile) => number): number {
    return models.reduce((sum, model) => sum + read(model), 0);
}

function replaceShares(profile: EngineProfile, shares: Map<string, number>): EngineProfile {
    const models = profile.models.map(model => ({ ...model, share: shares.get(model.name) ?? model.share }));
    return { ...profile, models };
}
