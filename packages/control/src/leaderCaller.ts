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
/**
 * Time for one member to answer before the leader is looked up again, in milliseconds: an election takes about as long, and
 * callers have time for three of these.
 */
const TRY_MS = 300;

/** A member that may lead. Two targets with the same `key` are the same member. */
interface CallTarget {
    key: string | Pick<Link, "call">;
    call: (timeoutMs: number) => Promise<ControlAnswer>;
}

/** Calls the leader, whether it is this member or another. */
export class LeaderCaller {
    constructor(private readonly options: LeaderCallerOptions) {}

    /**
     * Retries until a leader handles the call. If repeating the call is safe, a member that stays silent is waited for only
     * in part of the time, and its answer still counts after that. Nothing is sent after the time, which a stall of this
     * process may use up, or once `canSend` returns `false`. Rejects with {@link KumquathallError} if no leader answers in
     * time.
     */
    async call(
        call: ControlCall,
        timeoutMs: number = LEADER_CALL_TIMEOUT_MS,
        canSend: () => boolean = () => true,
    ): Promise<ControlAnswer> {
        const endsAt = performance.now() + timeoutMs;
        const tries = new CallTries(this.options.logger, call.kind);
        const isSendable = () => performance.now() < endsAt && canSend();
        for (;;) {
            const answer = await this.callOnce(call, tries, endsAt, isSendable);
            if (answer !== undefined) {
                return answer;
            }
            if (performance.now() + RETRY_PAUSE_MS >= endsAt || !canSend()) {
                throw new KumquathallError("no leader confirmed the call in time; send it again");
            }
            await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
        }
    }

    private async callOnce(
        call: ControlCall,
        tries: CallTries,
        endsAt: number,
        isSendable: () => boolean,
    ): Promise<ControlAnswer | undefined> {
        const targets = this.listTargets(call);
        for (const [at, target] of targets.entries()) {
            if (!isSendable()) {
                break;
            }
            const leftMs = Math.max(1, endsAt - performance.now());
            const waitMs = isRepeatable(call) ? Math.min(TRY_MS, leftMs / (targets.length - at)) : leftMs;
            const answer = await tries.wait(target, leftMs, waitMs);
            if (answer !== undefined) {
                return answer;
            }
        }
        return tries.getAnswer();
    }

    /** Lists the leader, or all members if it is not known. */
    private listTargets(call: ControlCall): CallTarget[] {
        const { id, runtime, answerLocally, getLeaderLink, listLinks } = this.options;
        const { leaderId } = runtime.getState();
        if (leaderId === id) {
            return [{ key: id, call: () => answerLocally(call) }];
        }
        const build = (link: Pick<Link, "call">, key: CallTarget["key"]): CallTarget => ({
            key,
            call: async timeoutMs => await link.call(call, timeoutMs) as ControlAnswer,
        });
        const known = leaderId === undefined ? undefined : getLeaderLink(leaderId);
        return leaderId === undefined || known === undefined
            ? listLinks().map(link => build(link, link))
            : [build(known, leaderId)];
    }
}

/** The members that a call has been sent to and that have not answered it, and the first answer of a leader. */
class CallTries {
    private readonly pending = new Map<CallTarget["key"], Promise<void>>();
    private answer: ControlAnswer | undefined;

    constructor(private readonly logger: Logger, private readonly kind: ControlCall["kind"]) {}

    getAnswer(): ControlAnswer | undefined {
        return this.answer;
    }

    /**
     * Calls a member, unless its answer to this call is still pending, and waits until a pending call has ended, at most
     * `waitMs`. Returns the answer of a leader if there is one.
     */
    async wait(target: CallTarget, timeoutMs: number, waitMs: number): Promise<ControlAnswer | undefined> {
        if (this.answer === undefined && !this.pending.has(target.key)) {
            this.pending.set(target.key, this.send(target, timeoutMs));
        }
        if (this.answer === undefined) {
            await waitAtMost([...this.pending.values()], waitMs);
        }
        return this.answer;
    }

    private async send({ key, call }: CallTarget, timeoutMs: number): Promise<void> {
        try {
            const answer = await call(timeoutMs);
            if (isHandled(answer)) {
                this.answer ??= answer;
            }
        }
        catch (error) {
            const leader = typeof key === "string" ? key : undefined;
            this.logger.warn("leader-not-reached", { leader, call: this.kind, message: describeError(error) });
        }
        this.pending.delete(key);
    }
}

function isHandled(answer: ControlAnswer): boolean {
    return answer.kind !== "notLeader" && answer.kind !== "unavailable";
}

/** Whether a call that two members handle has the same effect as one that is handled once. */
function isRepeatable(call: ControlCall): boolean {
    switch (call.kind) {
        case "readTraffic":
        case "query":
            return true;
        case "propose":
            return REPEATABLE_COMMANDS.has(call.command.kind);
        default:
            return false;
    }
}

/**
 * Commands of which a second copy changes nothing, also after later ones: they carry the version or revision that they
 * follow.
 */
const REPEATABLE_COMMANDS = new Set<Command["kind"]>(["drain", "undrain", "publishTraffic", "changeTraffic"]);

/** Waits until one of the promises has settled, at most `ms`. */
function waitAtMost(promises: Promise<void>[], ms: number): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, Math.max(1, ms));
        void Promise.race(promises).then(resolve).finally(() => clearTimeout(timer));
    });
}
