import { computeStepMs, estimatePrefillMs, type GroupRequest } from "@kumquathall/engine-model";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

/** One generation in the simulation, with its true work. */
export interface SimulatedRequest {
    gateway: number;
    isShort: boolean;
    promptTokens: number;
    answerTokens: number;
    answerTokensHint: number;
    arrivedAt: number;
    /** First event as the policy predicted it, in milliseconds after the arrival. */
    predictedMs: number | undefined;
    promptLeft: number;
    emittedTokens: number;
    firstEventAt: number | undefined;
    lastEventAt: number;
    longestGapMs: number;
}

/** Load of a group at one moment. */
export interface SimulatedLoad {
    running: number;
    waiting: number;
    kvUsedTokens: number;
}

/** A replica group in virtual time: continuous batching by passes, prompts in chunks, and preemption by memory. */
export class SimulatedGroup {
    private running: SimulatedRequest[] = [];
    private waiting: SimulatedRequest[] = [];
    private isBusy = false;
    preemptions = 0;

    constructor(
        private readonly profile: EngineProfile,
        private readonly model: EngineModelProfile,
        readonly pace: number,
        private readonly schedule: (delayMs: number, run: () => void) => void,
        private readonly onEvent: (request: SimulatedRequest, isLast: boolean) => void,
    ) {}

    submit(request: SimulatedRequest): void {
        this.waiting.push(request);
        if (!this.isBusy) {
            this.runPass();
        }
    }

    getLoad(): SimulatedLoad {
        return { running: this.running.length, waiting: this.waiting.length, kvUsedTokens: this.countKvTokens() };
    }

    /** Lists the true remaining work of all requests. */
    listRequests(): GroupRequest[] {
        return [...this.running, ...this.waiting].map(request => ({
            remainingTokens: request.answerTokens - request.emittedTokens,
            contextTokens: countContext(request),
            pendingPromptTokens: request.promptLeft,
            priority: undefined,
        }));
    }

    private runPass(): void {
        this.admit();
        this.isBusy = this.running.length > 0;
        if (!this.isBusy) {
            return;
        }
        const pace = this.model.pace * this.pace;
        const prefillMs = this.readPrompts(pace);
        const decoding = this.running.filter(request => request.promptLeft === 0);
        const stepMs = computeStepMs(this.profile, pace, decoding.length, this.countKvTokens());
        const passMs = prefillMs + (decoding.length === 0 ? 0 : this.profile.stride * stepMs);
        this.schedule(passMs, () => {
            this.emit(decoding);
            this.runPass();
        });
    }

    private admit(): void {
        let kvTokens = this.countKvTokens();
        while (this.running.length < this.profile.slots && this.waiting.length > 0) {
            const [next] = this.waiting;
            kvTokens += next.promptLeft;
            if (kvTokens > this.profile.kvCapacityTokens && this.running.length > 0) {
                return;
            }
            this.waiting.shift();
            this.running.push(next);
        }
    }

    /** Reads one chunk of prompts, the oldest first; returns the time that it takes. */
    private readPrompts(pace: number): number {
        let left = this.profile.prefillChunkTokens;
        let spentMs = 0;
        for (const request of this.running) {
            const tokens = Math.min(left, request.promptLeft);
            left -= tokens;
            // The whole attention time of a prompt is spread over its tokens.
            const prompt = countContext(request) + request.promptLeft;
            spentMs += estimatePrefillMs(this.profile, pace, prompt) * tokens / Math.max(1, prompt);
            request.promptLeft -= tokens;
        }
        return spentMs;
    }

    private emit(decoding: SimulatedRequest[]): void {
        for (const request of decoding) {
            request.emittedTokens = Math.min(request.answerTokens, request.emittedTokens + this.profile.stride);
            const isLast = request.emittedTokens === request.answerTokens;
            if (isLast) {
                this.running.splice(this.running.indexOf(request), 1);
            }
            this.onEvent(request, isLast);
        }
        while (this.running.length > 1 && this.countKvTokens() > this.profile.kvCapacityTokens) {
            const newest = this.running.pop() as SimulatedRequest;
            newest.promptLeft = newest.promptTokens + newest.emittedTokens;
            this.waiting.unshift(newest);
            this.preemptions++;
        }
    }

    private countKvTokens(): number {
        return this.running.reduce((sum, request) => sum + countContext(request), 0);
    }
}

function countContext({ promptTokens, emittedTokens, promptLeft }: SimulatedRequest): number {
    return promptTokens + emittedTokens - promptLeft;
}
