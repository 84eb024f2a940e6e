import type { ConsensusRuntime } from "@kumquathall/consensus";
import { describeError, KumquathallError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { Command, CommandResult, ControlAnswer, ControlCall } from "@kumquathall/types";

export interface LeaderCallerOptions {
    id: string;
    runtime: ConsensusRuntime<Command, CommandResult>;
    logger: Logger;
    /** Answers a call on this member, while it leads. */
    answerLocally: (call: ControlCall) => Promise<ControlAnswer>;
    getLeaderLink: (leaderId: string) => Pick<Link, "call"> | undefined;
    /** Links to all known members, which are tried in turn when the leader is unknown. */
    listLinks: () => Pick<Link, "call">[];
}

/** Default timeout of a call with all its attempts, in milliseconds: below the time that callers wait for an answer. */
export const LEADER_CALL_TIMEOUT_MS = 900;
/** Pause before a call is tried again while there is no leader, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Calls the leader, whether it is this member or another. */
export class LeaderCaller {
    constructor(private readonly options: LeaderCallerOptions) {}

    /** Retries until a leader handles the call. Rejects with {@link KumquathallError} if none does in time. */
    async call(call: ControlCall, timeoutMs: number = LEADER_CALL_TIMEOUT_MS): Promise<ControlAnswer> {
        const endsAt = performance.now() + timeoutMs;
        for (;;) {
            const answer = await this.callOnce(call, endsAt - performance.now());
            if (isHandled(answer)) {
                return answer;
            }
            if (performance.now() + RETRY_PAUSE_MS >= endsAt) {
                throw new KumquathallError("no leader confirmed the call in time; send it again");
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
        }
    }

    private async callOnce(call: ControlCall, timeoutMs: number): Promise<ControlAnswer> {
        const { id, runtime, logger } = this.options;
        const { leaderId } = runtime.getState();
        try {
            if (leaderId === id) {
                return await withTimeout(this.options.answerLocally(call), timeoutMs);
            }
            const known = leaderId === undefined ? undefined : this.options.getLeaderLink(leaderId);
            for (const link of known === undefined ? this.options.listLinks() : [known]) {
                const answer = await link.call(call, Math.max(1, timeoutMs)) as ControlAnswer;
                if (isHandled(answer)) {
                    return answer;
                }
            }
            return { kind: "notLeader", leader: undefined };
        }
        catch (error) {
            logger.warn("leader-not-reached", { leader: leaderId, call: call.kind, message: describeError(error) });
            return { kind: "unavailable", message: describeError(error) };
        }
    }
}

function isHandled(answer: ControlAnswer): boolean {
    return answer.kind !== "notLeader" && answer.kind !== "unavailable";
}

function withTimeout<Value>(promise: Promise<Value>, timeoutMs: number): Promise<Value> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new KumquathallError(`the leader did not answer within ${Math.round(timeoutMs)} ms`)),
            Math.max(1, timeoutMs),
        );
        promise.then(resolve, reject).finally(() => clearTimeout(timer));
    });
}
