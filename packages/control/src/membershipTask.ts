import { type ConsensusRuntime, Role } from "@kumquathall/consensus";
import { describeError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { Command, CommandResult } from "@kumquathall/types";
import { MemberSilence } from "./memberSilence.js";
import { planMembership } from "./planMembership.js";

export interface MembershipTaskOptions {
    id: string;
    runtime: ConsensusRuntime<Command, CommandResult>;
    /** Links to all known members, over which this process asks to join. */
    listLinks: () => Pick<Link, "call" | "peer">[];
    targetMembers: number;
    logger: Logger;
    /** Called when the members change. */
    onMembersChange: (members: readonly string[]) => void;
}

const TICK_MS = 100;
/** A joiner that has not repeated its request for this long is dropped, in milliseconds. */
const JOINER_TIMEOUT_MS = 1500;
const JOIN_INTERVAL_MS = 300;
/** A member without a leader for this long may have been replaced, in milliseconds: a few election timeouts. */
const LEADERLESS_MS = 2000;
/** Time in which a change of members must be committed before another is tried, in milliseconds. */
const CHANGE_TIMEOUT_MS = 2000;

/** Asks to join while this process is not a member, and admits joiners while it leads. */
export class MembershipTask {
    private readonly joiners = new Map<string, number>();
    private lastAskedAt = Number.NEGATIVE_INFINITY;
    private changingSince: number | undefined;
    private readonly silence = new MemberSilence();
    private lastMembers = "";
    private leaderKnownAt = performance.now();
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: MembershipTaskOptions) {
        this.timer = setInterval(() => this.decide(performance.now()), TICK_MS);
    }

    recordJoiner(member: string): void {
        this.joiners.set(member, performance.now());
    }

    close(): void {
        clearInterval(this.timer);
    }

    private decide(now: number): void {
        const { runtime, id, onMembersChange } = this.options;
        const members = runtime.getMembers();
        if (members.join() !== this.lastMembers) {
            this.lastMembers = members.join();
            this.options.logger.info("control-members", { members: this.lastMembers });
            onMembersChange(members);
        }
        if (runtime.getState().leaderId !== undefined) {
            this.leaderKnownAt = now;
        }
        // A member that was removed while it was unreachable is not notified: it asks to join once it has no leader.
        if (!members.includes(id) || now - this.leaderKnownAt > LEADERLESS_MS) {
            this.askToJoin(now);
        }
        if (runtime.getState().role !== Role.Leader) {
            this.silence.clear();
            return;
        }
        this.silence.update(now, members);
        if (runtime.canServe()) {
            this.decideChange(now, members);
        }
    }

    private askToJoin(now: number): void {
        if (now - this.lastAskedAt >= JOIN_INTERVAL_MS) {
            this.lastAskedAt = now;
            for (const link of this.options.listLinks()) {
                link.call({ kind: "join", member: this.options.id }).catch(error =>
                    this.options.logger.warn("join-call-failed", { peer: link.peer?.id, message: describeError(error) })
                );
            }
        }
    }

    private decideChange(now: number, members: readonly string[]): void {
        for (const [joiner, askedAt] of this.joiners) {
            if (now - askedAt > JOINER_TIMEOUT_MS) {
                this.joiners.delete(joiner);
            }
        }
        if (this.changingSince !== undefined && now - this.changingSince < CHANGE_TIMEOUT_MS) {
            return;
        }
        const { runtime } = this.options;
        const state = runtime.getState();
        const change = planMembership({
            members,
            self: this.options.id,
            joiners: [...this.joiners.keys()],
            getAnswerAgeMs: member => this.silence.compute(now, member, state.peers[member]?.answeredSentAt),
            targetMembers: this.options.targetMembers,
        });
        if (change === undefined) {
            return;
        }
        this.changingSince = now;
        this.options.logger.info("control-member-change", {
            change: change.kind,
            member: change.member,
            members: change.members.length,
            copies: runtime.listHolders(state.commitIndex).filter(member => change.members.includes(member)).length,
        });
        runtime.proposeMembers(change.members)
            .catch(error => this.options.logger.warn("member-change-failed", { message: describeError(error) }))
            .finally(() => {
                this.changingSince = undefined;
            });
    }
}
