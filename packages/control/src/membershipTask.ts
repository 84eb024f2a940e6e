import { type ConsensusRuntime, Role } from "@kumquathall/consensus";
import { describeError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { Command, CommandResult } from "@kumquathall/types";
import { JoinerQueue } from "./joinerQueue.js";
import { MemberSilence } from "./memberSilence.js";
import { type MemberChange, planMembership } from "./planMembership.js";
import { RecentCommits } from "./recentCommits.js";

export interface MembershipTaskOptions {
    id: string;
    runtime: ConsensusRuntime<Command, CommandResult>;
    /** Links to all known members, over which this process asks to join. */
    listLinks: () => Pick<Link, "call" | "peer">[];
    targetMembers: number;
    logger: Logger;
    /** Called when the members, or the learners of this leader, change: the processes that exchange the log with this one. */
    onPeersChange: (peers: readonly string[]) => void;
}

const TICK_MS = 100;
const JOIN_INTERVAL_MS = 300;
/** A member without a leader for this long may have been replaced, in milliseconds: a few election timeouts. */
const LEADERLESS_MS = 2000;

/** Asks to join while this process is not a member, and admits joiners while it leads. */
export class MembershipTask {
    private readonly joiners = new JoinerQueue();
    private readonly silence = new MemberSilence();
    private readonly commits = new RecentCommits();
    private lastAskedAt = Number.NEGATIVE_INFINITY;
    private lastMembers = "";
    private lastLearners = "";
    private lastPeers = "";
    private leaderKnownAt = performance.now();
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: MembershipTaskOptions) {
        this.timer = setInterval(() => this.decide(performance.now()), TICK_MS);
    }

    recordJoiner(member: string): void {
        this.joiners.record(member, performance.now());
    }

    close(): void {
        clearInterval(this.timer);
    }

    private decide(now: number): void {
        const { runtime, id } = this.options;
        const members = runtime.getMembers();
        const { leaderId, role, learners } = runtime.getState();
        this.reportPeers(members, learners);
        if (leaderId !== undefined) {
            this.leaderKnownAt = now;
        }
        // A member that was removed while it was unreachable is not notified: it asks to join once it has no leader.
        if (!members.includes(id) || now - this.leaderKnownAt > LEADERLESS_MS) {
            this.askToJoin(now);
        }
        if (role !== Role.Leader) {
            this.silence.clear();
            this.commits.clear();
            return;
        }
        this.silence.update(now, [...members, ...learners]);
        if (runtime.canServe()) {
            this.decideChange(now, members);
        }
    }

    private reportPeers(members: readonly string[], learners: readonly string[]): void {
        const { logger, onPeersChange } = this.options;
        if (members.join() !== this.lastMembers) {
            this.lastMembers = members.join();
            logger.info("control-members", { members: this.lastMembers });
        }
        if (learners.join() !== this.lastLearners) {
            this.lastLearners = learners.join();
            logger.info("control-learners", { learners: this.lastLearners });
        }
        const peers = [...new Set([...members, ...learners])];
        if (peers.join() !== this.lastPeers) {
            this.lastPeers = peers.join();
            onPeersChange(peers);
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
        const { runtime, id, targetMembers } = this.options;
        const { peers, commitIndex } = runtime.getState();
        this.commits.record(now, commitIndex);
        const neededIndex = this.commits.getEarlierIndex();
        const plan = planMembership({
            members,
            self: id,
            joiners: this.joiners.list(now),
            hasCopy: joiner => runtime.hasCopy(joiner, neededIndex),
            getSilenceMs: process => this.silence.compute(now, process, peers[process]?.answeredSentAt),
            targetMembers,
        });
        this.joiners.markLearners(plan.learners, now);
        runtime.setLearners(plan.learners);
        if (plan.change !== undefined && !runtime.isChangingMembers()) {
            this.propose(plan.change);
        }
    }

    private propose(change: MemberChange): void {
        const { runtime, logger } = this.options;
        logger.info("control-member-change", {
            change: change.kind,
            member: change.member,
            members: change.members.length,
            copies: change.members.filter(member => runtime.hasCopy(member)).length,
        });
        runtime.proposeMembers(change.members)
            .catch(error => logger.warn("member-change-failed", { message: describeError(error) }));
    }
}
