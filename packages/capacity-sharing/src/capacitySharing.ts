import { type AdmissionInput, decideAdmission, type SharingRefusalValue } from "./decideAdmission.js";
import {
    type AdmittedShare,
    type DemandTotal,
    findFraction,
    formatKey,
    type OfferedRequest,
    RankedAdmission,
    type RankedAdmissionOptions,
} from "./rankedAdmission.js";
import { INTERVAL_MS, ReturnSchedule } from "./returnSchedule.js";

/** State of the groups of a model, and the prediction for a request. */
export interface SharingState
    extends Omit<AdmissionInput, "isOverloaded" | "fraction" | "overall" | "hasReserved" | "isEarlyReturn">
{
    /** Work that the groups that serve can do in a second, in endpoint-milliseconds. */
    capacityMs: number;
}

export interface SharingDecision {
    /** Why the request is refused; `undefined` if it is admitted. */
    refusal: SharingRefusalValue | undefined;
    /** Admitted fraction of the work of the request's rank and account. */
    fraction: number;
    share: AdmittedShare;
}

/** Decisions about one request, which may be made several times. */
export interface SharedRequest extends OfferedRequest {
    /** The room that was kept for the request's return has been taken; `undefined` before the first decision. */
    hasReserved?: boolean;
}

/** Number of refused requests that have been told a later time. */
export interface ScheduledReturns {
    service: string;
    model: string;
    count: number;
}

export interface ReturnInput {
    capacityMs: number;
    /** Time by which the predicted first event misses the objective, in milliseconds. */
    excessMs: number;
    /** Time that the caller has left, and what of it an answer needs, in milliseconds. */
    timeLeftMs: number;
    answerMs: number;
    random: number;
}

const MS_PER_SECOND = 1000;
/** Part of the capacity that is kept for returns while more is offered than can be served. */
const RETURN_PART = 0.05;
/** Part of the capacity up to which the room beside new requests is given to returns. */
const FILLED_PART = 0.9;
/** Shortest time to a return, in milliseconds: reports of the groups are as old. */
export const MIN_RETURN_MS = 150;
const MAX_MODELS = 256;

/** Shares the capacity of each model's groups among requests, and schedules the return of those that are refused. */
export class CapacitySharing {
    private readonly admission: RankedAdmission;
    private readonly schedules = new Map<string, { service: string; model: string; schedule: ReturnSchedule }>();

    constructor(options: RankedAdmissionOptions) {
        this.admission = new RankedAdmission(options);
    }

    /** Records a request at its arrival, once. */
    recordOffered(request: OfferedRequest, now: number): void {
        this.admission.recordOffered(request, now);
    }

    /** Records the demand over all gateways. */
    recordTotals(items: readonly DemandTotal[], now: number): void {
        this.admission.recordTotals(items, now);
    }

    /** Decides whether a request is sent. */
    decide(request: SharedRequest, state: SharingState, now: number): SharingDecision {
        const share = this.computeShare(request, state.capacityMs, now);
        const fraction = share.isOverloaded ? findFraction(share, request.rank, request.account) : 1;
        request.hasReserved ??= request.isReturn
            && this.getOrCreateSchedule(request).takeReturn(request.workMs, now);
        const { isOverloaded, overall } = share;
        const refusal = decideAdmission({
            ...state,
            isOverloaded,
            overall,
            fraction,
            hasReserved: request.hasReserved,
            isEarlyReturn: request.isReturn && !request.hasReserved,
        });
        return { refusal, fraction, share };
    }

    /**
     * Schedules the return of a refused request, in milliseconds from now: the first time with room. If there is none before
     * it is too late, a return would be refused again, and the time is the end of the time that the caller has.
     */
    scheduleReturn(request: OfferedRequest, input: ReturnInput, now: number): { returnMs: number; hasRoom: boolean } {
        const share = this.computeShare(request, input.capacityMs, now);
        const { service, model, workMs } = request;
        const predictOfferedMs = this.admission.createPrediction(service, model, share, now);
        const { capacityMs } = input;
        const predictRoomMs = (afterMs: number) =>
            Math.max(RETURN_PART * capacityMs, FILLED_PART * capacityMs - predictOfferedMs(afterMs))
            * share.gatewayShare * INTERVAL_MS / MS_PER_SECOND;
        const { random, timeLeftMs } = input;
        const earliestMs = Math.max(MIN_RETURN_MS, input.excessMs);
        const latestMs = timeLeftMs - input.answerMs;
        const schedule = this.getOrCreateSchedule(request);
        const returnMs = schedule.schedule({ workMs, earliestMs, latestMs, predictRoomMs, random }, now);
        return returnMs === undefined
            ? { returnMs: Math.max(MIN_RETURN_MS, timeLeftMs), hasRoom: false }
            : { returnMs, hasRoom: true };
    }

    /** Counts the requests that are scheduled to return later, by model. */
    listReturns(now: number): ScheduledReturns[] {
        return [...this.schedules.values()].map(({ service, model, schedule }) => (
            { service, model, count: schedule.count(now) }
        ));
    }

    private computeShare({ service, model }: OfferedRequest, capacityMs: number, now: number): AdmittedShare {
        const dueMs = this.schedules.get(formatKey(service, model))?.schedule.getDueMs(now) ?? 0;
        return this.admission.computeShare(service, model, capacityMs, dueMs, now);
    }

    private getOrCreateSchedule({ service, model }: OfferedRequest): ReturnSchedule {
        const key = formatKey(service, model);
        const known = this.schedules.get(key);
        if (known !== undefined) {
            return known.schedule;
        }
        for (const oldest of [...this.schedules.keys()].slice(0, Math.max(0, this.schedules.size - MAX_MODELS + 1))) {
            this.schedules.delete(oldest);
        }
        const schedule = new ReturnSchedule();
        this.schedules.set(key, { service, model, schedule });
        return schedule;
    }
}
