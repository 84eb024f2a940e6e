import { ProblemCode, RefusalError } from "@kumquathall/errors";
import type { RoleContext } from "@kumquathall/kernel";
import { type Link, LinkDialer, parseAddress, type PeerIdentity } from "@kumquathall/link";
import type { ControlAnswer, ControlCall } from "@kumquathall/types";

export interface ControlClientOptions {
    context: RoleContext;
    identity: PeerIdentity;
    members: { id: string; address: string }[];
    onOpen: (member: string) => void;
    onCast: (message: unknown, link: Link) => void;
}

const RETRY_PAUSE_MS = 60;
const CALL_TIMEOUT_MS = 2000;

/** Calls the members of the control group and finds their leader. */
export class ControlClient {
    private readonly dialers = new Map<string, LinkDialer>();
    private leader: string | undefined;

    constructor(options: ControlClientOptions) {
        for (const member of options.members) {
            const dialer = new LinkDialer({
                address: parseAddress(member.address),
                tls: options.context.tls,
                identity: options.identity,
                handlers: { onOpen: () => options.onOpen(member.id), onCast: options.onCast },
            });
            this.dialers.set(member.id, dialer);
        }
    }

    listMembers(): string[] {
        return [...this.dialers.keys()];
    }

    /** Whether a link to the member is open. */
    hasLink(member: string): boolean {
        return this.dialers.get(member)?.getLink() !== undefined;
    }

    /** Calls one member. Resolves to `undefined` if it is not connected, fails, or does not answer in time. */
    async callMember(
        member: string,
        call: ControlCall,
        timeoutMs: number = CALL_TIMEOUT_MS,
    ): Promise<ControlAnswer | undefined> {
        return await this.dialers.get(member)?.call(call, timeoutMs).catch(() => undefined) as
            | ControlAnswer
            | undefined;
    }

    /**
     * Calls the leader, and retries until `until` (monotonic time) if it is not known or does not answer. Then throws a
     * {@link RefusalError} with code `no-leader`; the call may have been executed nevertheless.
     */
    async callLeader(call: ControlCall, until: number): Promise<ControlAnswer> {
        while (performance.now() < until) {
            const member = this.leader ?? this.pickMember();
            const timeoutMs = Math.min(CALL_TIMEOUT_MS, until - performance.now());
            const answer = member === undefined ? undefined : await this.callMember(member, call, timeoutMs);
            if (answer !== undefined && answer.kind !== "notLeader" && answer.kind !== "unavailable") {
                this.leader = member;
                return answer;
            }
            this.leader = answer?.kind === "notLeader" ? answer.leader : undefined;
            if (this.leader === undefined) {
                await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
            }
        }
        throw new RefusalError(ProblemCode.NoLeader, "no leader of the control group could be reached", 1000);
    }

    close(): void {
        this.dialers.forEach(dialer => dialer.close());
    }

    private pickMember(): string | undefined {
        const open = [...this.dialers.keys()].filter(member => this.hasLink(member));
        return open[Math.floor(Math.random() * open.length)];
    }
}
