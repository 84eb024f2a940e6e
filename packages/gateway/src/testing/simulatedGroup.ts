import { computeStepMs, estimatePrefillMs, type GroupLoad } from "@kumquathall/engine-model";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

/** A request at a simulated group. */
export interface SimulatedWork {
    promptTokens: number;
    answerTokens: number;
    /** The lowest is served first. */
    priority: number;
    onFirstEvent: (now: number) => void;
    onEnd: () => void;
}

interface ActiveWork {
    work: SimulatedWork;
    prefillLeft: number;
    answerLeft: number;
}

/** A replica group in virtual time that works as its profile says: passes of some decoding steps and one prefill chunk. */
export class SimulatedGroup {
    readonly waiting: SimulatedWork[] = [];
    private readonly active: ActiveWork[] = [];
    private passEndsAt = 0;

    constructor(private readonly profile: EngineProfile, private readonly model: EngineModelProfile) {}

    /** Finishes the passes that end by `now`, and begins the next. */
    advance(now: number): void {
        while (this.passEndsAt <= now) {
            this.finishPass(this.passEndsAt);
            this.startPass(now);
        }
    }

    report(): GroupLoad {
        return {
            running: this.active.length,
            waiting: this.waiting.length,
            pendingPrefillTokens: 0,
            kvUsedTokens: this.countContextTokens(),
            pace: 1,
        };
    }

    private finishPass(at: number): void {
        for (const item of this.active.filter(({ prefillLeft }) => prefillLeft <= 0)) {
            if (item.answerLeft === item.work.answerTokens) {
                item.work.onFirstEvent(at);
            }
            item.answerLeft -= this.profile.stride;
            if (item.answerLeft <= 0) {
                this.active.splice(this.active.indexOf(item), 1);
                item.work.onEnd();
            }
        }
    }

    private startPass(now: number): void {
        this.waiting.sort((left, right) => left.priority - right.priority);
        const free = this.profile.slots - this.active.length;
        this.active.push(
            ...this.waiting.splice(0, free).map(work => (
                { work, prefillLeft: work.promptTokens, answerLeft: work.answerTokens }
            )),
        );
        if (this.active.length === 0) {
            this.passEndsAt = now + 1;
            return;
        }
        const { prefillChunkTokens, stride } = this.profile;
        let chunkLeft = prefillChunkTokens;
        let prefillMs = 0;
        for (const item of this.active) {
            const tokens = Math.min(chunkLeft, Math.max(0, item.prefillLeft));
            item.prefillLeft -= tokens;
            chunkLeft -= tokens;
            prefillMs += estimatePrefillMs(this.profile, this.model.pace, item.work.promptTokens) * tokens
                / item.work.promptTokens;
        }
        const stepMs = computeStepMs(this.profile, this.model.pace, this.active.length, this.countContextTokens());
        this.passEndsAt = Math.max(now, this.passEndsAt) + prefillMs + stepMs * stride;
    }

    private countContextTokens(): number {
        return this.active.reduce((sum, { work }) => sum + work.promptTokens, 0);
    }
}
